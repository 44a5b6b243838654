"""Time until a change is in force everywhere, and what it costs.

Five daemons as processes; and the decisions of dissemination (neighbours,
store) alone at 100, 1,000 and 6,300 daemons, in rounds of one advert and one
pull.
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

CHANGES = 40
QUICK_CHANGES = 12
POLL_S = 0.02
LIMIT_S = 17.0
FLEET_SIZES = (100, 1000, 6300)
NEIGHBOURS = 8
# One way between regions; a round is an advert, a pull and its reply.
REGION_DELAY_MS = 75
ROUND_TRIPS = 1.5


def _wait_everywhere(deployment, revision: int, since: float) -> float:
    while time.time() - since < LIMIT_S:
        statuses = [
            deployment.get_from_daemon(vm, "/v1/status")["revision"]
            for vm in deployment.vm_names
        ]
        if min(statuses) >= revision:
            break
        time.sleep(POLL_S)
    events = []
    for vm in deployment.vm_names:
        path = f"/v1/timeline?after={int(since * 1000) - 1}"
        found = deployment.get_from_daemon(vm, path)["events"]
        in_force = [
            e["wall_ms"]
            for e in found
            if e["kind"] == "configuration_in_force"
            and f"revision {revision} " in e["detail"]
        ]
        events.append(in_force[0] if in_force else (since + LIMIT_S) * 1000)
    return max(events) / 1000 - since


def _measure_processes(seed: int, changes: int) -> dict[str, float]:
    rng = random.Random(seed)
    with _deployments.run_deployment(_deployments.MN_CENTRAL) as deployment:
        time.sleep(3.0)
        zones = sorted({vm.zone for vm in deployment.vms})
        reads_before = deployment.control_platform({})["reads"]
        bytes_before = _deployments.total_counters(deployment)["peers.bytes"]
        started = time.monotonic()
        delays = []
        for number in range(changes):
            state = "out" if number % 2 == 0 else "in"
            if state == "out":
                zone = rng.choice(zones)
            since = time.time()
            revision = deployment.publish_zone(zone, state)
            delays.append(_wait_everywhere(deployment, revision, since))
        elapsed = time.monotonic() - started
        with_changes = _deployments.total_counters(deployment)["peers.bytes"]
        reads = deployment.control_platform({})["reads"] - reads_before
        time.sleep(elapsed)
        idle = _deployments.total_counters(deployment)["peers.bytes"]
    spent = (with_changes - bytes_before) - (idle - with_changes)
    count = len(deployment.vm_names)
    return {
        "in_force_everywhere_s": max(delays),
        "in_force_median_s": statistics.median(delays),
        "platform_reads": reads,
        "platform_reads_per_change": reads / changes,
        # Each byte is counted by the sender and by the receiver.
        "bytes_per_daemon_per_change": max(0, spent) / 2 / count / changes,
    }


def _measure_decisions(size: int) -> dict[str, float]:
    """Spreads one change over a fleet of stores; returns rounds and cost."""
    names = [f"vm-{number}" for number in range(size)]
    neighbours = {
        name: membership.choose_neighbours(name, names, NEIGHBOURS)
        for name in names
    }
    zones = declarations.Zones([declarations.Zone("za", "north")])
    document = declarations.Document("zones", 2, zones=zones)
    stores = {name: configuration.Store() for name in names}
    stores[names[0]].offer([document])
    advert_bytes = len(codec.encode(messages.ConfigAdvert(2)))
    document_bytes = len(codec.encode(document))
    frontier = [names[0]]
    rounds = adverts = pulls = 0
    while frontier:
        rounds += 1
        reached = []
        for name in frontier:
            for neighbour in neighbours[name]:
                adverts += 1
                store = stores[neighbour]
                if store.revision < 2:
                    pulls += 1
                    store.offer(stores[name].changed_after(store.revision))
                    reached.append(neighbour)
        frontier = reached
    missed = sum(store.revision < 2 for store in stores.values())
    spent = adverts * 2 * advert_bytes + pulls * document_bytes
    return {
        "rounds": rounds - 1,
        "in_force_everywhere_s": (rounds - 1)
        * ROUND_TRIPS
        * 2
        * REGION_DELAY_MS
        / 1000,
        "adverts_per_daemon": adverts / size,
        "bytes_per_daemon_per_change": spent / size,
        "daemons_missed": missed,
    }


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    changes = QUICK_CHANGES if _report.is_quick() else CHANGES
    figures = _measure_processes(seed, changes)
    _report.print_report(
        "propagation",
        seed,
        figures,
        {f"decisions_{n}": _measure_decisions(n) for n in FLEET_SIZES},
        {"in_force_everywhere_s": 3.0},
    )


if __name__ == "__main__":
    main()
