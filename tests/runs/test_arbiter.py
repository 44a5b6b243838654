import hypothesis
from hypothesis import strategies

from citrondoor import runs
from citrondoor.schema import messages

STATUS = runs.ClaimStatus


def make_id(number: int) -> messages.RequestId:
    return messages.RequestId("s", number)


def make_reply(text: str) -> messages.RunReply:
    return messages.RunReply(answer=messages.RunAnswer(make_id(1), text))


def test_only_the_first_claim_may_run():
    arbiter = runs.Arbiter()
    assert arbiter.claim("acme", make_id(1)) == STATUS.CLAIMED
    assert arbiter.claim("acme", make_id(1)) == STATUS.IN_PROGRESS
    arbiter.finish("acme", make_id(1), make_reply("done"), 0)
    assert arbiter.claim("acme", make_id(1)) == STATUS.COMPLETED
    assert arbiter.stored_reply("acme", make_id(1)).answer.result == "done"


def test_ids_of_customers_are_independent():
    arbiter = runs.Arbiter()
    assert arbiter.claim("acme", make_id(1)) == STATUS.CLAIMED
    assert arbiter.claim("other", make_id(1)) == STATUS.CLAIMED


def test_an_id_with_an_expired_result_is_never_claimed_again():
    arbiter = runs.Arbiter()
    arbiter.claim("acme", make_id(1))
    arbiter.finish("acme", make_id(1), make_reply("done"), 0)
    arbiter.claim("acme", make_id(2))
    arbiter.finish("acme", make_id(2), make_reply("later"), 700_000)
    assert arbiter.claim("acme", make_id(1)) == STATUS.RESULT_EXPIRED
    assert arbiter.claim("acme", make_id(2)) == STATUS.COMPLETED


@hypothesis.given(
    numbers=strategies.lists(strategies.integers(1, 20), max_size=80)
)
def test_each_id_is_claimed_once_in_any_order(numbers):
    arbiter = runs.Arbiter()
    claimed = [
        number
        for number in numbers
        if arbiter.claim("a", make_id(number)) == STATUS.CLAIMED
    ]
    assert sorted(claimed) == sorted(set(numbers))


def test_sessions_name_their_arbiter_and_are_unique():
    issuer = runs.SessionIssuer("vm-1", 77)
    issued = {issuer.issue() for _ in range(100)}
    assert len(issued) == 100
    session = runs.parse_session(issued.pop())
    assert (session.vm, session.incarnation) == ("vm-1", 77)
    assert runs.parse_session("mine") is None
    assert runs.parse_session("vm~x~1") is None
