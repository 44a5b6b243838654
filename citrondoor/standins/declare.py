"""Writes the declarations of the two example deployments.

`python -m citrondoor.standins.declare examples` created the committed files.
Operators edit those by hand, and running it again overwrites them. All
addresses are on loopback, so that a deployment runs on one machine.
"""

import hashlib
import pathlib
import sys

import yaml

RECORDS_PER_SHARD = 120


class BackendSpec:
    """Size of one back end.

    Args:
      name: Name of the back end.
      unit_count: For a search back end, the number of instances with two
        searchers each. For a back end of runs, the number of searchers.
      slots: Requests that a searcher serves at a time.
      connections: Connections that a searcher accepts from all daemons
        together.
      first_port: Port of the first searcher; the others follow it.
    """

    __slots__ = ("connections", "first_port", "name", "slots", "unit_count")

    def __init__(
        self,
        name: str,
        unit_count: int,
        slots: int,
        connections: int,
        first_port: int,
    ):
        self.name = name
        self.unit_count = unit_count
        self.slots = slots
        self.connections = connections
        self.first_port = first_port


class DeploymentSpec:
    """Contents of the declarations of one deployment.

    Args:
      name: Name of its directory and its region.
      zones: Names of its availability zones.
      search: Its search back ends.
      run: Its back ends for non-idempotent requests.
      contracts: Its contracts, as written to YAML.
      http_port: HTTP port of the first entry VM; the port of each further one
        is 10 higher. The peer port of a VM is its HTTP port plus 1.
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
    """Writes all declarations of a deployment to YAML files below `root`."""
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
    """Returns the digest by which a contract identifies a customer's key."""
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
    # Both searchers of an instance are in the same zone.
    return [
        {
            "name": f"{backend.name}-{instance:02d}-{part}",
            "zone": zones[instance % len(zones)],
            "address": "127.0.0.1",
            "port": backend.first_port + 2 * instance + index,
        }
        for instance in range(backend.unit_count)
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
        for number in range(backend.unit_count)
    ]


def _backend(
    backend, kind: str, searchers: list[dict], connect_cost_ms: int
) -> dict:
    return {
        "name": backend.name,
        "kind": kind,
        "slots": backend.slots,
        "connections": backend.connections,
        "connect_cost_ms": connect_cost_ms,
        "searchers": searchers,
    }


def _snapshots(backend: BackendSpec, searchers: list[dict]) -> dict:
    # Two consecutive instances, which are in different zones, have four
    # searchers. These form two replica pairs, each with one searcher of each
    # instance. Both searchers of a pair hold the same two shards.
    shards = []
    instance_pair_count = len(searchers) // 4
    for replica_pair in range(instance_pair_count * 2):
        instance_pair, part = divmod(replica_pair, 2)
        replicas = [
            searchers[4 * instance_pair + part]["name"],
            searchers[4 * instance_pair + 2 + part]["name"],
        ]
        for index in range(2):
            shards.append(
                {
                    "name": f"s{2 * replica_pair + index:03d}",
                    "records": RECORDS_PER_SHARD,
                    "replicas": replicas,
                }
            )
    snapshots = [
        {"name": name, "shards": shards} for name in ("gen-0001", "gen-0002")
    ]
    return {"backend": backend.name, "snapshots": snapshots}


def _contract(
    customer, key, backends, rate_per_s, burst, monthly_quantity, policy
) -> dict:
    return {
        "customer": customer,
        "key_digests": [digest(key)],
        "backends": backends,
        "rate_per_s": rate_per_s,
        "burst": burst,
        "monthly_quantity": monthly_quantity,
        "max_shards": 200,
        "max_results": 100,
        "policy": policy,
    }


def _write(path: pathlib.Path, content: dict) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    text = yaml.dump(content, Dumper=_PlainDumper, sort_keys=False)
    path.write_text(text)


class _PlainDumper(yaml.SafeDumper):
    """Writes shared lists in full, without YAML anchors and aliases."""

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
    for spec in (MN_CENTRAL, NORTH_MILL):
        write_deployment(base / spec.name, spec)
