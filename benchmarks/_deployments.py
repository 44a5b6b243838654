"""Running deployments for benchmarks."""

import asyncio
import contextlib
import pathlib
import tempfile

from benchmarks import _report
from citrondoor import gc_tuning
from citrondoor.standins import declare
from citrondoor.standins import load
from citrondoor.standins import local_deployment

EXAMPLES = pathlib.Path("examples")
WARM_UP_S = 8.0


class Workload:
    """One deployment with its two customers.

    Args:
      name: Directory of its declarations.
      backend: The search back end that is measured.
      customers: Keys by name; the first one carries the load.
    """

    __slots__ = ("backend", "customers", "name")

    def __init__(self, name: str, backend: str, customers: dict[str, str]):
        self.name = name
        self.backend = backend
        self.customers = customers

    @property
    def directory(self) -> pathlib.Path:
        """Directory of its declarations."""
        return EXAMPLES / self.name

    def plan(self, rate_per_s: float, **changes) -> load.LoadPlan:
        """Returns the plan of the first customer."""
        customer, key = next(iter(self.customers.items()))
        return load.LoadPlan(customer, key, self.backend, rate_per_s, **changes)


MN_CENTRAL = Workload(
    "mn-central",
    "inspect-search",
    {
        "altan-sprinkler": "altan-demo-key",
        "gobi-fire-safety": "gobi-demo-key",
    },
)
NORTH_MILL = Workload(
    "north-mill",
    "catalogue",
    {"trade-buyers": "trade-demo-key", "shop-customers": "shop-demo-key"},
)
WORKLOADS = [MN_CENTRAL, NORTH_MILL]


@contextlib.contextmanager
def running(workload: Workload, **options):
    """Runs a deployment and yields it; warms all searchers first."""
    deployment = local_deployment.LocalDeployment(workload.directory, **options)
    try:
        deployment.start()
        gc_tuning.tune()
        yield deployment
    finally:
        deployment.stop()


@contextlib.contextmanager
def running_with_vms(count: int, **options):
    """Runs mn-central with another number of entry VMs."""
    with tempfile.TemporaryDirectory() as directory:
        shape = declare.MN_CENTRAL
        changed = declare.DeploymentSpec(
            shape.name,
            shape.zones,
            shape.search,
            shape.run,
            shape.contracts,
            shape.http_port,
            count,
        )
        declare.write_deployment(pathlib.Path(directory), changed)
        deployment = local_deployment.LocalDeployment(
            pathlib.Path(directory), **options
        )
        try:
            deployment.start()
            yield deployment
        finally:
            deployment.stop()


def measure_each(
    seed: int, measure, quick_one: bool = True
) -> dict[str, dict[str, float]]:
    """Returns the figures of each deployment, started and warmed anew.

    Args:
      seed: Seed of the warm-up.
      measure: Takes a deployment and its workload and returns figures.
      quick_one: Whether a quick run takes the first deployment only.
    """
    is_short = quick_one and _report.is_quick()
    rows = {}
    for workload in WORKLOADS[: 1 if is_short else len(WORKLOADS)]:
        with running(workload) as deployment:
            warm_up(deployment, workload, seed)
            rows[workload.name] = measure(deployment, workload)
    return rows


def urls(deployment: local_deployment.LocalDeployment) -> list[str]:
    """Returns the URLs of all entries."""
    return [deployment.url_of(vm) for vm in deployment.vm_names]


def send(
    deployment: local_deployment.LocalDeployment,
    plans: list[load.LoadPlan],
    seed: int,
    seconds: float,
) -> dict[str, load.LoadResult]:
    """Sends load and returns what each customer got."""
    sender = load.Load(urls(deployment), plans, seed)
    return asyncio.run(sender.run(seconds))


def warm_up(
    deployment: local_deployment.LocalDeployment, workload: Workload, seed: int
) -> None:
    """Sends until the searchers of the measured back end are warm."""
    send(deployment, [workload.plan(60.0)], seed, WARM_UP_S)


def total_counters(
    deployment: local_deployment.LocalDeployment,
) -> dict[str, float]:
    """Returns the counters of all daemons, summed."""
    totals: dict[str, float] = {}
    for vm in deployment.vm_names:
        counters = deployment.get_from_daemon(vm, "/v1/status")["counters"]
        for name, value in counters.items():
            totals[name] = totals.get(name, 0) + value
    return totals


def worst(
    rows: dict[str, dict[str, float]], lower_is_worse: set[str]
) -> dict[str, float]:
    """Returns the worse value of each figure over several deployments."""
    figures = {}
    for name in next(iter(rows.values())):
        values = [row[name] for row in rows.values()]
        choose = min if name in lower_is_worse else max
        figures[name] = choose(values)
    return figures
