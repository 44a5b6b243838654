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
    served = 0
    while callers.admit(served, 0) == ADMISSION.SERVE:
        served += 1
    surplus = 0
    while callers.admit(served, surplus) == ADMISSION.REFUSE:
        surplus += 1
    others = sum(bound.max_served for bound in bounds.values())
    assert shares.sockets - served - surplus - others >= 0.1 * shares.sockets


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
