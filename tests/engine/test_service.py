import asyncio

import pytest
import pytest_bdd
from pytest_bdd import parsers

from citrondoor import engine
from citrondoor.schema import declarations
from citrondoor.schema import messages
from tests import fakes
from tests import samples

pytest_bdd.scenarios("features/service.feature")

OUTCOME = messages.SubOutcome


@pytest.fixture
def outcomes() -> list:
    return []


@pytest_bdd.given("a cluster of three daemons", target_fixture="cluster")
def cluster_of_three():
    return fakes.FakeCluster()


@pytest_bdd.given(
    parsers.parse(
        "a cluster of three daemons with {quantity:d} requests a month"
    ),
    target_fixture="cluster",
)
def cluster_with_quantity(quantity):
    documents = fakes.cluster_documents()
    contract = documents[4].contracts.contracts[0]
    contract.monthly_quantity = quantity
    contract.burst = 5
    return fakes.FakeCluster(documents)


@pytest_bdd.given(
    parsers.parse("a session issued by {vm}"), target_fixture="session"
)
def issued_session(cluster, vm):
    return cluster.daemons[vm].sessions.issue()


@pytest_bdd.given("both searchers of shards s0 and s3 fail")
def both_searchers_fail(cluster):
    cluster.searchers.outcomes = {
        "desk-0": OUTCOME.FAILED,
        "desk-1": OUTCOME.FAILED,
    }


@pytest_bdd.given(parsers.parse("{vm} is cut off from its peers"))
def cut_off(cluster, vm):
    others = [name for name in cluster.daemons if name != vm]
    cluster.network.cut_links = {frozenset((vm, other)) for other in others}


@pytest_bdd.given(parsers.parse("{vm} was paused"))
def was_paused(cluster, vm):
    cluster.clock.advance(1500)


@pytest_bdd.given(parsers.parse("{vm} has crashed"))
@pytest_bdd.when(parsers.parse("{vm} has crashed"))
def has_crashed(cluster, vm):
    cluster.crash(vm)


@pytest_bdd.given(parsers.parse("{vm} was restarted with a new incarnation"))
def was_restarted(cluster, vm):
    cluster.restart(vm, 2)


@pytest_bdd.given(parsers.parse("{vm} is leaving"))
def is_leaving(cluster, vm):
    cluster.daemons[vm].admission.state = engine.AdmissionState.LEAVING


@pytest_bdd.given(parsers.parse("{vm} has not joined yet"))
def has_not_joined(cluster, vm):
    cluster.daemons[vm].admission.state = engine.AdmissionState.JOINING


@pytest_bdd.given(parsers.parse("searcher {name} rejects under overload"))
def rejects_under_overload(cluster, name):
    cluster.searchers.outcomes[name] = OUTCOME.SHED


@pytest_bdd.given("every searcher of notices fails")
def notices_fail(cluster):
    for name in ("notices-0", "notices-1"):
        cluster.searchers.outcomes[name] = OUTCOME.FAILED


def publish_zones(cluster, *zones_out):
    revision = cluster.daemons["vm-0"].store.revision + 1
    document = declarations.Document(
        "zones", revision, zones=samples.zones(*zones_out)
    )
    for daemon in cluster.daemons.values():
        daemon.apply_documents([document])


@pytest_bdd.given(
    parsers.parse("the operators take zone {zone} out of service")
)
@pytest_bdd.when(parsers.parse("the operators take zone {zone} out of service"))
def take_zone_out(cluster, zone):
    publish_zones(cluster, zone)


@pytest_bdd.when("the operators bring every zone back into service")
def bring_zones_back(cluster):
    publish_zones(cluster)


def search(cluster, outcomes, vm, request):
    coroutine = cluster.daemons[vm].service.search(samples.KEY, request)
    outcomes.append(asyncio.run(coroutine))


@pytest_bdd.when(parsers.parse("a caller searches at {vm}"))
def searches(cluster, outcomes, vm):
    search(cluster, outcomes, vm, cluster.search_request())


@pytest_bdd.when(
    parsers.parse("a caller with 200 ms to the deadline searches at {vm}")
)
def searches_with_short_deadline(cluster, outcomes, vm):
    request = cluster.search_request()
    # The query ends when its answer is due. The fake clock does not advance by
    # itself, so it would never reach that time.
    cluster.daemons[vm].search_engine.view.clock = TickingClock(cluster.clock)
    request.deadline_at = cluster.clock.now() + 200
    search(cluster, outcomes, vm, request)


class TickingClock:
    """Advances a manual clock by 1 ms each time `now` is read."""

    def __init__(self, clock):
        self._clock = clock

    def now(self):
        self._clock.advance(1)
        return self._clock.now()

    def unix_ms(self):
        return self._clock.unix_ms()


@pytest_bdd.when(
    parsers.parse("a caller with an expired deadline searches at {vm}")
)
def searches_after_deadline(cluster, outcomes, vm):
    request = cluster.search_request()
    request.deadline_at = cluster.clock.now()
    search(cluster, outcomes, vm, request)


@pytest_bdd.when("a caller sends the same search to every daemon")
def sends_same_search(cluster, outcomes):
    for vm in cluster.daemons:
        search(cluster, outcomes, vm, cluster.search_request(number=77))


@pytest_bdd.when(parsers.parse("a caller searches {times:d} times at {vm}"))
def searches_repeatedly(cluster, outcomes, times, vm):
    for _ in range(times):
        search(cluster, outcomes, vm, cluster.search_request())
        cluster.fill_token_buckets()


@pytest_bdd.when("a caller sends the same run to every daemon")
def sends_same_run(cluster, outcomes, session):
    for vm in cluster.daemons:
        send_run(cluster, outcomes, session, vm)


@pytest_bdd.when(parsers.parse("a caller sends a run to {vm}"))
def send_run(cluster, outcomes, session, vm):
    coroutine = cluster.daemons[vm].service.run(
        samples.KEY, cluster.run_request(session)
    )
    outcomes.append(asyncio.run(coroutine))


@pytest_bdd.when("vm-0 pauses while a caller searches there")
def pauses_during_search(cluster, outcomes):
    async def scenario():
        cluster.searchers.release_event = asyncio.Event()
        request = cluster.search_request()
        request.deadline_at += 10_000
        service = cluster.daemons["vm-0"].service
        task = asyncio.create_task(service.search(samples.KEY, request))
        while len(cluster.searchers.calls) < 3:
            await asyncio.sleep(0)
        cluster.clock.advance(1500)
        cluster.searchers.release_event.set()
        for _ in range(50):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(scenario())


@pytest_bdd.then("no searcher was called after the pause")
def none_after_pause(cluster):
    # The three calls are the first sub-requests, one for each replica group.
    assert len(cluster.searchers.calls) == 3


@pytest_bdd.then(
    parsers.parse("the answer covers every shard of snapshot {name}")
)
def covers_all(outcomes, name):
    answer = outcomes[-1].unwrap()
    assert answer.snapshot == name
    assert answer.coverage.missing == []
    assert answer.coverage.shards_answered == 4
    assert answer.receipt.counted


@pytest_bdd.then("the ledger of each daemon counts one request")
def each_ledger_counts_one(cluster):
    assert [cluster.request_total(vm) for vm in cluster.daemons] == [1, 1, 1]


@pytest_bdd.then("every answer has a receipt")
def every_answer_has_receipt(outcomes):
    receipts = [outcome.unwrap().receipt for outcome in outcomes]
    assert all(receipt.counted for receipt in receipts)
    assert [receipt.repeated for receipt in receipts] == [False] + [True] * (
        len(receipts) - 1
    )


@pytest_bdd.then(parsers.parse("no searcher of zone {zone} was called"))
def zone_not_called(cluster, zone):
    searchers = cluster.daemons["vm-0"].view.catalogue.searchers
    called = {searchers[name].zone for name, _ in cluster.searchers.calls}
    assert called
    assert zone not in called


@pytest_bdd.then("no searcher was called")
def none_called(cluster):
    assert cluster.searchers.calls == []


@pytest_bdd.then("exactly one searcher was called")
def one_called(cluster):
    assert len(cluster.searchers.calls) == 1


@pytest_bdd.then(
    parsers.parse("the answer states that {one} and {two} are missing")
)
def states_missing(outcomes, one, two):
    coverage = outcomes[-1].unwrap().coverage
    assert coverage.missing == [one, two]
    assert coverage.shards_answered == 2
    # In the samples, shard sN has 10 + N records.
    assert coverage.records_answered == coverage.records_total - 10 - 13


def refusal_of(outcomes, kind):
    refusal = outcomes[-1].unwrap_err()
    assert messages.RefusalKind(refusal.kind).name.lower() == kind
    assert refusal.remedy
    return refusal


@pytest_bdd.then(
    parsers.parse("the request is refused as {kind} and did not run")
)
def refused_not_run(outcomes, kind):
    assert refusal_of(outcomes, kind).ran == messages.Ran.NO


@pytest_bdd.then(
    parsers.parse("the request is refused as {kind} and may have run")
)
def refused_unknown(outcomes, kind):
    assert refusal_of(outcomes, kind).ran == messages.Ran.UNKNOWN


@pytest_bdd.then(parsers.parse("the request is refused as {kind:w}"))
def refused(outcomes, kind):
    refusal_of(outcomes, kind)


@pytest_bdd.then("the refusal has a receipt")
def refusal_has_receipt(outcomes):
    assert outcomes[-1].unwrap_err().receipt.counted


@pytest_bdd.then("the refusal has no receipt")
def refusal_has_no_receipt(outcomes):
    assert outcomes[-1].unwrap_err().receipt is None


@pytest_bdd.then("the remedy names the other entries")
def names_others(outcomes):
    remedy = outcomes[-1].unwrap_err().remedy
    assert "127.0.0.1:8001" in remedy
    assert "127.0.0.1:8002" in remedy


@pytest_bdd.then(
    parsers.parse(
        "{answered:d} requests are answered and {refused:d} refused as {kind}"
    )
)
def answered_and_refused(outcomes, answered, refused, kind):
    assert sum(outcome.is_ok() for outcome in outcomes) == answered
    kinds = [
        messages.RefusalKind(outcome.unwrap_err().kind).name.lower()
        for outcome in outcomes
        if outcome.is_err()
    ]
    assert kinds == [kind] * refused
