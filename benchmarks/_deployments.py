"""Starts deployments for benchmarks and sends load to them."""

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
    """An example deployment, its measured back end and its two customers.

    Args:
      name: Directory of its declarations below `examples`.
      backend: The search back end that is measured.
      customers: API keys by customer name; `plan` uses the first customer.
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

    def plan(self, rate_per_s: float, **options) -> load.LoadPlan:
        """Returns a load plan for the first customer.

        Args:
          rate_per_s: Searches a second.
          options: Further arguments of `load.LoadPlan`.
        """
        customer, key = next(iter(self.customers.items()))
        return load.LoadPlan(customer, key, self.backend, rate_per_s, **options)


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
def run_deployment(workload: Workload, **options):
    """Starts a deployment, yields it when all daemons serve, then stops it.

    No load has been sent yet; see `warm_up`. Also tunes garbage collection of
    this process, which sends the load.

    Args:
      workload: Its deployment is started.
      options: Further arguments of `local_deployment.LocalDeployment`.
    """
    deployment = local_deployment.LocalDeployment(workload.directory, **options)
    try:
        deployment.start()
        gc_tuning.tune()
        yield deployment
    finally:
        deployment.stop()


@contextlib.contextmanager
def run_with_vm_count(count: int, **options):
    """Starts mn-central with `count` entry VMs and yields it.

    Args:
      count: Number of entry VMs.
      options: Further arguments of `local_deployment.LocalDeployment`.
    """
    with tempfile.TemporaryDirectory() as directory:
        base = declare.MN_CENTRAL
        spec = declare.DeploymentSpec(
            base.name,
            base.zones,
            base.search,
            base.run,
            base.contracts,
            base.http_port,
            count,
        )
        declare.write_deployment(pathlib.Path(directory), spec)
        deployment = local_deployment.LocalDeployment(
            pathlib.Path(directory), **options
        )
        try:
            deployment.start()
            yield deployment
        finally:
            deployment.stop()


def measure_deployments(
    seed: int, measure, is_first_only_if_quick: bool = True
) -> dict[str, dict[str, float]]:
    """Starts, warms and measures each deployment; returns figures by name.

    Args:
      seed: Seed of the warm-up.
      measure: Function of a deployment and its workload; returns figures.
      is_first_only_if_quick: Whether a quick run measures the first deployment
        only.
    """
    is_first_only = is_first_only_if_quick and _report.is_quick()
    figures_by_deployment = {}
    for workload in WORKLOADS[: 1 if is_first_only else len(WORKLOADS)]:
        with run_deployment(workload) as deployment:
            warm_up(deployment, workload, seed)
            figures_by_deployment[workload.name] = measure(deployment, workload)
    return figures_by_deployment


def entry_urls(deployment: local_deployment.LocalDeployment) -> list[str]:
    """Returns the URLs of all entry daemons."""
    return [deployment.url_of(vm) for vm in deployment.vm_names]


def send_load(
    deployment: local_deployment.LocalDeployment,
    plans: list[load.LoadPlan],
    seed: int,
    seconds: float,
) -> dict[str, load.LoadResult]:
    """Sends load and returns the result by customer.

    Args:
      deployment: A running deployment.
      plans: One for each customer.
      seed: Seed of the load.
      seconds: Duration of the load in seconds.
    """
    load_sender = load.Load(entry_urls(deployment), plans, seed)
    return asyncio.run(load_sender.run(seconds))


def warm_up(
    deployment: local_deployment.LocalDeployment, workload: Workload, seed: int
) -> None:
    """Sends load for `WARM_UP_S`, to warm the measured back end's searchers."""
    send_load(deployment, [workload.plan(60.0)], seed, WARM_UP_S)


def total_counters(
    deployment: local_deployment.LocalDeployment,
) -> dict[str, float]:
    """Returns the sum of each counter over all daemons."""
    totals: dict[str, float] = {}
    for vm in deployment.vm_names:
        counters = deployment.get_from_daemon(vm, "/v1/status")["counters"]
        for name, value in counters.items():
            totals[name] = totals.get(name, 0) + value
    return totals


def worst_figures(
    figures_by_deployment: dict[str, dict[str, float]], lower_is_worse: set[str]
) -> dict[str, float]:
    """Returns the worst value of each figure over several deployments.

    Args:
      figures_by_deployment: Figures by deployment; all have the same names.
      lower_is_worse: Figures of which the minimum is worst.
    """
    figures = {}
    for name in next(iter(figures_by_deployment.values())):
        values = [
            deployment_figures[name]
            for deployment_figures in figures_by_deployment.values()
        ]
        choose_worse = min if name in lower_is_worse else max
        figures[name] = choose_worse(values)
    return figures
