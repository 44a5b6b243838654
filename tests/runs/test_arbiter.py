import hypothesis
from hypothesis import strategies

from citrondoor import runs
from citrondoor.schema import messages

BEGUN = runs.Begun


def rid(number: int) -> messages.RequestId:
    return messages.RequestId("s", number)


def reply(text: str) -> messages.RunReply:
    return messages.RunReply(answer=messages.RunAnswer(rid(1), text))


def test_only_the_first_may_run():
    arbiter = runs.Arbiter()
    assert arbiter.begin("acme", rid(1)) == BEGUN.FIRST
    assert arbiter.begin("acme", rid(1)) == BEGUN.IN_PROGRESS
    arbiter.finish("acme", rid(1), reply("done"), 0)
    assert arbiter.begin("acme", rid(1)) == BEGUN.REPEATED
    assert arbiter.reply_of("acme", rid(1)).answer.result == "done"


def test_customers_do_not_share_ids():
    arbiter = runs.Arbiter()
    assert arbiter.begin("acme", rid(1)) == BEGUN.FIRST
    assert arbiter.begin("other", rid(1)) == BEGUN.FIRST


def test_a_forgotten_result_never_runs_again():
    arbiter = runs.Arbiter()
    arbiter.begin("acme", rid(1))
    arbiter.finish("acme", rid(1), reply("done"), 0)
    arbiter.begin("acme", rid(2))
    arbiter.finish("acme", rid(2), reply("later"), 700_000)
    assert arbiter.begin("acme", rid(1)) == BEGUN.FORGOTTEN
    assert arbiter.begin("acme", rid(2)) == BEGUN.REPEATED


@hypothesis.given(
    numbers=strategies.lists(strategies.integers(1, 20), max_size=80)
)
def test_each_id_is_first_once_in_any_order(numbers):
    arbiter = runs.Arbiter()
    first = [n for n in numbers if arbiter.begin("a", rid(n)) == BEGUN.FIRST]
    assert sorted(first) == sorted(set(numbers))


def test_sessions_name_their_arbiter_and_are_never_issued_twice():
    issuer = runs.SessionIssuer("vm-1", 77)
    issued = {issuer.issue() for _ in range(100)}
    assert len(issued) == 100
    session = runs.parse_session(issued.pop())
    assert (session.vm, session.incarnation) == ("vm-1", 77)
    assert runs.parse_session("mine") is None
    assert runs.parse_session("vm~x~1") is None
