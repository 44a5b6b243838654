"""Time until a configuration change is active on all daemons, and its cost.

Measured on five daemons as processes. Baselines simulate only how a change
spreads among 100, 1,000 and 6,300 daemons, with the code that daemons use to
choose neighbours and to store declarations. In each round, the daemons that the
change reached in the round before advertise it to their neighbours, and push
the document to those whose reply shows an older revision.
"""

import random
import statistics
import time

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor import configuration
from citrondoor import membership
from citrondoor.codecs import peers as codec
from citrondoor.schema import declarations
from citrondoor.schema import messages

CHANGE_COUNT = 40
QUICK_CHANGE_COUNT = 12
POLL_INTERVAL_S = 0.02
TIMEOUT_S = 17.0
CLUSTER_SIZES = (100, 1000, 6300)
NEIGHBOUR_COUNT = 8
REGION_ONE_WAY_DELAY_MS = 75
# A round is an advert, its reply and a push: three one-way delays.
ROUND_TRIPS_PER_ROUND = 1.5


def _wait_active_everywhere(
    deployment, revision: int, published_at: float
) -> float:
    """Waits until a revision is active on all daemons, up to `TIMEOUT_S`.

    Args:
      deployment: A running deployment.
      revision: The published revision.
      published_at: Unix time of the publication in seconds.

    Returns:
      Seconds from the publication until the last daemon activated the revision,
      as logged in the daemons' timelines. A daemon whose timeline has no such
      event counts as `TIMEOUT_S`.
    """
    while time.time() - published_at < TIMEOUT_S:
        revisions = [
            deployment.get_from_daemon(vm, "/v1/status")["revision"]
            for vm in deployment.vm_names
        ]
        if min(revisions) >= revision:
            break
        time.sleep(POLL_INTERVAL_S)
    activation_times_ms = []
    for vm in deployment.vm_names:
        path = f"/v1/timeline?after={int(published_at * 1000) - 1}"
        events = deployment.get_from_daemon(vm, path)["events"]
        active_times_ms = [
            event["wall_ms"]
            for event in events
            if event["kind"] == "configuration_in_force"
            and f"revision {revision} " in event["detail"]
        ]
        activation_times_ms.append(
            active_times_ms[0]
            if active_times_ms
            else (published_at + TIMEOUT_S) * 1000
        )
    return max(activation_times_ms) / 1000 - published_at


def _measure_processes(seed: int, change_count: int) -> dict[str, float]:
    rng = random.Random(seed)
    with _deployments.run_deployment(_deployments.MN_CENTRAL) as deployment:
        time.sleep(3.0)
        zones = sorted({vm.zone for vm in deployment.vms})
        reads_before = deployment.control_platform({})["reads"]
        bytes_before = _deployments.total_counters(deployment)["peers.bytes"]
        started = time.monotonic()
        delays_s = []
        for number in range(change_count):
            state = "out" if number % 2 == 0 else "in"
            if state == "out":
                zone = rng.choice(zones)
            published_at = time.time()
            revision = deployment.publish_zone(zone, state)
            delays_s.append(
                _wait_active_everywhere(deployment, revision, published_at)
            )
        elapsed_s = time.monotonic() - started
        bytes_after_changes = _deployments.total_counters(deployment)[
            "peers.bytes"
        ]
        read_count = deployment.control_platform({})["reads"] - reads_before
        time.sleep(elapsed_s)
        bytes_after_idle = _deployments.total_counters(deployment)[
            "peers.bytes"
        ]
    # Subtracts the traffic of an idle period as long as the changes took.
    change_bytes = (bytes_after_changes - bytes_before) - (
        bytes_after_idle - bytes_after_changes
    )
    daemon_count = len(deployment.vm_names)
    return {
        "in_force_everywhere_s": max(delays_s),
        "in_force_median_s": statistics.median(delays_s),
        "platform_reads": read_count,
        "platform_reads_per_change": read_count / change_count,
        # Sender and receiver both count each byte.
        "bytes_per_daemon_per_change": max(0, change_bytes)
        / 2
        / daemon_count
        / change_count,
    }


def _simulate_dissemination(daemon_count: int) -> dict[str, float]:
    """Returns rounds and cost of spreading one change to all stores."""
    names = [f"vm-{number}" for number in range(daemon_count)]
    neighbours = {
        name: membership.choose_neighbours(name, names, NEIGHBOUR_COUNT)
        for name in names
    }
    zones = declarations.Zones([declarations.Zone("za", "north")])
    document = declarations.Document("zones", 2, zones=zones)
    stores = {name: configuration.Store() for name in names}
    stores[names[0]].offer([document])
    advert_bytes = len(codec.encode(messages.ConfigAdvert(2)))
    document_bytes = len(codec.encode(document))
    frontier = [names[0]]
    rounds = advert_count = push_count = 0
    while frontier:
        rounds += 1
        next_frontier = []
        for name in frontier:
            for neighbour in neighbours[name]:
                advert_count += 1
                store = stores[neighbour]
                if store.revision < 2:
                    push_count += 1
                    store.offer(stores[name].changed_after(store.revision))
                    next_frontier.append(neighbour)
        frontier = next_frontier
    missed_count = sum(store.revision < 2 for store in stores.values())
    # The reply to an advert is an advert too; replies to pushes are left out.
    change_bytes = advert_count * 2 * advert_bytes + push_count * document_bytes
    return {
        "rounds": rounds - 1,
        "in_force_everywhere_s": (rounds - 1)
        * ROUND_TRIPS_PER_ROUND
        * 2
        * REGION_ONE_WAY_DELAY_MS
        / 1000,
        "adverts_per_daemon": advert_count / daemon_count,
        "bytes_per_daemon_per_change": change_bytes / daemon_count,
        "daemons_missed": missed_count,
    }


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    change_count = QUICK_CHANGE_COUNT if _report.is_quick() else CHANGE_COUNT
    figures = _measure_processes(seed, change_count)
    _report.print_report(
        "propagation",
        seed,
        figures,
        {f"decisions_{n}": _simulate_dissemination(n) for n in CLUSTER_SIZES},
        {"in_force_everywhere_s": 3.0},
    )


if __name__ == "__main__":
    main()
