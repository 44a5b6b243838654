import hypothesis
from hypothesis import strategies

from citrondoor import runs
from citrondoor.schema import messages

CLAIM = runs.ClaimStatus


def rid(number: int) -> messages.RequestId:
    return messages.RequestId("s", number)


def reply(text: str) -> messages.RunReply:
    return messages.RunReply(answer=messages.RunAnswer(rid(1), text))


def test_only_the_first_may_run():
    arbiter = runs.Arbiter()
    assert arbiter.claim("acme", rid(1)) == CLAIM.CLAIMED
    assert arbiter.claim("acme", rid(1)) == CLAIM.IN_PROGRESS
    arbiter.finish("acme", rid(1), reply("done"), 0)
    assert arbiter.claim("acme", rid(1)) == CLAIM.COMPLETED
    assert arbiter.stored_reply("acme", rid(1)).answer.result == "done"


def test_customers_do_not_share_ids():
    arbiter = runs.Arbiter()
    assert arbiter.claim("acme", rid(1)) == CLAIM.CLAIMED
    assert arbiter.claim("other", rid(1)) == CLAIM.CLAIMED


def test_a_forgotten_result_never_runs_again():
    arbiter = runs.Arbiter()
    arbiter.claim("acme", rid(1))
    arbiter.finish("acme", rid(1), reply("done"), 0)
    arbiter.claim("acme", rid(2))
    arbiter.finish("acme", rid(2), reply("later"), 700_000)
    assert arbiter.claim("acme", rid(1)) == CLAIM.RESULT_EXPIRED
    assert arbiter.claim("acme", rid(2)) == CLAIM.COMPLETED


@hypothesis.given(
    numbers=strategies.lists(strategies.integers(1, 20), max_size=80)
)
def test_each_id_is_first_once_in_any_order(numbers):
    arbiter = runs.Arbiter()
    first = [n for n in numbers if arbiter.claim("a", rid(n)) == CLAIM.CLAIMED]
    assert sorted(first) == sorted(set(numbers))


def test_sessions_name_their_arbiter_and_are_never_issued_twice():
    issuer = runs.SessionIssuer("vm-1", 77)
    issued = {issuer.issue() for _ in range(100)}
    assert len(issued) == 100
    session = runs.parse_session(issued.pop())
    assert (session.vm, session.incarnation) == ("vm-1", 77)
    assert runs.parse_session("mine") is None
    assert runs.parse_session("vm~x~1") is None
