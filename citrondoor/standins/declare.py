"""Writes the declarations of both first deployments, at their sizes of today.

`python -m citrondoor.standins.declare examples` made the committed files;
operators edit them from then on. All addresses are on loopback, so the
deployments run on one machine.
"""

import hashlib
import pathlib
import sys

import yaml

RECORDS_PER_SHARD = 120


class BackendSpec:
    """Shape of one back end.

    Args:
      name: Name of the back end.
      units: Instances with two searchers each of a search back end; searchers
        of another one.
      slots: Slots of a searcher.
      connections: Connections of a searcher.
      first_port: Port of the first searcher.
    """

    __slots__ = ("connections", "first_port", "name", "slots", "units")

    def __init__(
        self,
        name: str,
        units: int,
        slots: int,
        connections: int,
        first_port: int,
    ):
        self.name = name
        self.units = units
        self.slots = slots
        self.connections = connections
        self.first_port = first_port


class DeploymentSpec:
    """One deployment.

    Args:
      name: Name of its directory.
      zones: Its availability zones.
      search: Its search back ends.
      run: Its back ends for non-idempotent requests.
      contracts: Its contracts, as they are written.
      http_port: HTTP port of the first entry VM.
      vm_count: Number of entry VMs.
    """

    __slots__ = (
        "contracts",
        "http_port",
        "name",
        "run",
        "search",
        "vm_count",
        "zones",
    )

    def __init__(
        self,
        name: str,
        zones: list[str],
        search: list[BackendSpec],
        run: list[BackendSpec],
        contracts: list[dict],
        http_port: int,
        vm_count: int = 5,
    ):
        self.vm_count = vm_count
        self.name = name
        self.zones = zones
        self.search = search
        self.run = run
        self.contracts = contracts
        self.http_port = http_port


def write_deployment(root: pathlib.Path, deployment: DeploymentSpec) -> None:
    """Writes all declarations of a deployment below a directory."""
    zones = [
        {"name": zone, "region": deployment.name, "state": "in"}
        for zone in deployment.zones
    ]
    _write(root / "zones.yaml", {"zones": zones})
    _write(root / "vms.yaml", {"vms": _vms(deployment)})
    for backend in deployment.search:
        searchers = _search_searchers(backend, deployment.zones)
        _write(
            root / "backends" / f"{backend.name}.yaml",
            _backend(backend, "search", searchers, 6),
        )
        _write(
            root / "snapshots" / f"{backend.name}.yaml",
            _snapshots(backend, searchers),
        )
    for backend in deployment.run:
        searchers = _run_searchers(backend, deployment.zones)
        _write(
            root / "backends" / f"{backend.name}.yaml",
            _backend(backend, "run", searchers, 1),
        )
    _write(
        root / "contracts" / "customers.yaml",
        {"contracts": deployment.contracts},
    )


def digest(key: str) -> str:
    """Returns the digest under which a contract names a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def _vms(deployment: DeploymentSpec) -> list[dict]:
    vms = []
    for number in range(deployment.vm_count):
        port = deployment.http_port + 10 * number
        vms.append(
            {
                "name": f"entry-{number + 1}",
                "zone": deployment.zones[number % len(deployment.zones)],
                "address": "127.0.0.1",
                "http_port": port,
                "peer_port": port + 1,
                "state": "in",
            }
        )
    return vms


def _search_searchers(backend: BackendSpec, zones: list[str]) -> list[dict]:
    # The two searchers of an instance share its zone.
    return [
        {
            "name": f"{backend.name}-{instance:02d}-{part}",
            "zone": zones[instance % len(zones)],
            "address": "127.0.0.1",
            "port": backend.first_port + 2 * instance + index,
        }
        for instance in range(backend.units)
        for index, part in enumerate("ab")
    ]


def _run_searchers(backend: BackendSpec, zones: list[str]) -> list[dict]:
    return [
        {
            "name": f"{backend.name}-{number:02d}",
            "zone": zones[number % len(zones)],
            "address": "127.0.0.1",
            "port": backend.first_port + number,
        }
        for number in range(backend.units)
    ]


def _backend(backend, kind: str, searchers: list[dict], cost_ms: int) -> dict:
    return {
        "name": backend.name,
        "kind": kind,
        "slots": backend.slots,
        "connections": backend.connections,
        "connect_cost_ms": cost_ms,
        "searchers": searchers,
    }


def _snapshots(backend: BackendSpec, searchers: list[dict]) -> dict:
    # Neighbouring instances are in different zones: each pair of searchers
    # holds the same two shards.
    shards = []
    half = len(searchers) // 4
    for pair in range(half * 2):
        group, part = divmod(pair, 2)
        replicas = [
            searchers[4 * group + part]["name"],
            searchers[4 * group + 2 + part]["name"],
        ]
        for index in range(2):
            shards.append(
                {
                    "name": f"s{2 * pair + index:03d}",
                    "records": RECORDS_PER_SHARD,
                    "replicas": replicas,
                }
            )
    snapshots = [
        {"name": name, "shards": shards} for name in ("gen-0001", "gen-0002")
    ]
    return {"backend": backend.name, "snapshots": snapshots}


def _contract(customer, key, backends, rate, burst, monthly, policy) -> dict:
    return {
        "customer": customer,
        "key_digests": [digest(key)],
        "backends": backends,
        "rate_per_s": rate,
        "burst": burst,
        "monthly_quantity": monthly,
        "max_shards": 200,
        "max_results": 100,
        "policy": policy,
    }


def _write(path: pathlib.Path, content: dict) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    text = yaml.dump(content, Dumper=_PlainDumper, sort_keys=False)
    path.write_text(text)


class _PlainDumper(yaml.SafeDumper):
    """Repeats shared lists instead of naming them."""

    __slots__ = ()

    def ignore_aliases(self, data) -> bool:
        return True


MN_CENTRAL = DeploymentSpec(
    "mn-central",
    ["ulaanbaatar-a", "ulaanbaatar-b", "darkhan", "erdenet"],
    [
        BackendSpec("inspect-search", 20, 3, 30, 21000),
        BackendSpec("sched-desk", 30, 3, 30, 21100),
    ],
    [
        BackendSpec("archive-desk", 12, 2, 100, 21200),
        BackendSpec("notice-mail", 6, 2, 100, 21220),
    ],
    [
        _contract(
            "altan-sprinkler",
            "altan-demo-key",
            ["inspect-search", "sched-desk", "archive-desk", "notice-mail"],
            200.0,
            100,
            5_000_000,
            {"coverage_first": {}},
        ),
        _contract(
            "gobi-fire-safety",
            "gobi-demo-key",
            ["inspect-search", "notice-mail"],
            50.0,
            25,
            1_000_000,
            {"coverage_first": {}},
        ),
    ],
    22000,
)

NORTH_MILL = DeploymentSpec(
    "north-mill",
    ["loading-bay", "sorting-floor", "mezzanine", "counting-house"],
    [
        BackendSpec("catalogue", 20, 2, 25, 23000),
        BackendSpec("sorting-desk", 30, 2, 25, 23100),
    ],
    [
        BackendSpec("reserve", 4, 6, 50, 23200),
        BackendSpec("dispatch", 4, 6, 50, 23220),
    ],
    [
        _contract(
            "trade-buyers",
            "trade-demo-key",
            ["catalogue", "sorting-desk", "reserve", "dispatch"],
            200.0,
            100,
            5_000_000,
            {"latency_first": {"target_ms": 200}},
        ),
        _contract(
            "shop-customers",
            "shop-demo-key",
            ["catalogue", "reserve"],
            50.0,
            25,
            1_000_000,
            {"latency_first": {"target_ms": 200}},
        ),
    ],
    24000,
)

if __name__ == "__main__":
    base = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "examples")
    for each in (MN_CENTRAL, NORTH_MILL):
        write_deployment(base / each.name, each)
