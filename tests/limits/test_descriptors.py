import pytest

from citrondoor import limits

ADMISSION = limits.Admission


@pytest.mark.parametrize(
    ("kernel_limit", "max_fds", "limit", "sockets"),
    [
        (20_000, 4100, 4100, 3900),
        (1024, 4100, 1024, 992),
        (256, 0, 256, 224),
        (1024, 100, 100, 50),
    ],
)
def test_the_smaller_limit_holds_and_files_keep_theirs(
    kernel_limit, max_fds, limit, sockets
):
    shares = limits.DescriptorShares(kernel_limit, max_fds)
    assert shares.limit == limit
    assert shares.sockets == sockets


@pytest.mark.parametrize("limit", [128, 256, 1024, 4100, 8200])
def test_callers_leave_descriptors_for_searchers_peers_and_the_store(limit):
    shares = limits.DescriptorShares(limit, 0)
    bounds = shares.bounds()
    callers = bounds.pop("front")
    peers = bounds.pop("peers")
    served = 0
    while callers.admit(served, 0) == ADMISSION.SERVE:
        served += 1
    surplus = 0
    while callers.admit(served, surplus) == ADMISSION.REFUSE:
        surplus += 1
    others = sum(bound.max_served for bound in bounds.values())
    remaining = shares.sockets - served - surplus - others
    assert remaining >= 0.1 * shares.sockets
    assert peers.max_served <= remaining / 2


def test_surplus_connections_are_refused_and_then_closed():
    bound = limits.ConnectionBound(2, 1)
    assert bound.admit(0, 0) == ADMISSION.SERVE
    assert bound.admit(1, 1) == ADMISSION.SERVE
    assert bound.admit(2, 0) == ADMISSION.REFUSE
    assert bound.admit(2, 1) == ADMISSION.CLOSE
    assert (bound.refused_count, bound.closed_count) == (0, 1)
    bound.record_refusal()
    assert (bound.refused_count, bound.closed_count) == (1, 1)


def test_without_surplus_connections_the_oldest_gives_way():
    bound = limits.ConnectionBound(2, 0)
    assert bound.admit(2, 0) == ADMISSION.REPLACE
    assert bound.closed_count == 1


def make_use(name=None, heard_at=1000, incarnation=1):
    use = limits.LinkUse(heard_at, lambda: None)
    use.peer = name and (name, incarnation)
    return use


def choose_loser(uses, now=1000):
    bound = limits.LinkBound(len(uses))
    is_member = {"member-1", "member-2"}.__contains__
    admission, loser = bound.admit(len(uses), uses, is_member, now)
    assert admission is (
        ADMISSION.CLOSE if loser is None else ADMISSION.REPLACE
    )
    assert bound.refused_count == (loser is None)
    assert bound.closed_count == (loser is not None)
    return loser


def test_links_without_a_handshake_silent_ones_and_strangers_give_way_in_turn():
    live = [make_use("member-1"), make_use("member-2")]
    no_member = make_use("other")
    silent = make_use("member-1", heard_at=-5000)
    replaced = make_use("member-1")
    replaced.is_replaced = True
    unknown = make_use()
    uses = [*live, no_member, silent, replaced, unknown, make_use()]
    for expected in [unknown, uses[-1], replaced, silent, no_member, None]:
        assert choose_loser(uses) is expected
        if expected is not None:
            uses.remove(expected)
    assert uses == live


def test_of_silent_links_the_one_that_was_heard_least_recently_gives_way():
    uses = [make_use(f"vm-{n}", heard_at=n * 7 % 10) for n in range(10)]
    assert choose_loser(uses, now=9000) is uses[0]


def test_links_have_no_bound_other_than_their_number():
    bound = limits.LinkBound(3)
    assert bound.admit(2, [], lambda name: True, 0) == (ADMISSION.SERVE, None)


def test_a_flood_beyond_the_bound_does_not_look_at_all_links_each_time():
    # 6,300 daemons may try to link to one with 800 links, twice a second.
    bound = limits.LinkBound(1)
    looked = []

    def is_member(name):
        looked.append(name)
        return True

    for n in range(1000):
        bound.admit(1, [make_use("vm-1", n)], is_member, n)
    assert bound.refused_count == 1000
    assert len(looked) <= 10


def test_a_third_link_of_one_process_takes_the_place_of_its_oldest():
    bound = limits.LinkBound(100)
    uses = [make_use("vm-2")]
    for n in range(4):
        uses.append(make_use("vm-1"))
        expected = uses[n - 1] if n >= 2 else None
        assert bound.choose_replaced(uses, uses[-1]) is expected
    uses.append(make_use("vm-1", incarnation=2))
    assert bound.choose_replaced(uses, uses[-1]) is None


@pytest.mark.parametrize(
    ("limit", "links"), [(512, 34), (1024, 88), (4100, 409), (8192, 841)]
)
def test_peers_have_descriptors_for_their_links_in_both_directions(
    limit, links
):
    # A full mesh of 12 VMs takes 22 links, and a larger cluster 8 neighbours
    # in each direction with those to other zones.
    bound = limits.DescriptorShares(20_000, limit).bounds()["peers"]
    assert abs(bound.max_served - links) <= 2
    assert bound.max_dialled >= 11
