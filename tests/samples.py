"""Small sample declarations, shared by several tests."""

import hashlib

from citrondoor.schema import declarations

KEY = "a-key"


def zones(*zones_out: str) -> declarations.Zones:
    """Returns three zones; those named are out of service."""
    states = declarations.ZoneState
    return declarations.Zones(
        [
            declarations.Zone(
                name, "north", states.OUT if name in zones_out else states.IN
            )
            for name in ("za", "zb", "zc")
        ]
    )


def vms(count: int = 3) -> declarations.Vms:
    return declarations.Vms(
        [
            declarations.Vm(
                f"vm-{number}",
                "zabc"[0] + "abc"[number % 3],
                "127.0.0.1",
                8000 + number,
                9000 + number,
            )
            for number in range(count)
        ]
    )


def backend(name: str = "desk", searchers: int = 3, kind=None):
    return declarations.Backend(
        name,
        kind or declarations.BackendKind.SEARCH,
        [
            declarations.Searcher(
                f"{name}-{number}",
                "z" + "abc"[number % 3],
                "127.0.0.1",
                7000 + number,
            )
            for number in range(searchers)
        ],
        3,
        30,
        6,
    )


def snapshot(name: str, shards: int = 4, searchers: int = 3):
    return declarations.Snapshot(
        name,
        [
            declarations.Shard(
                f"s{number}",
                10 + number,
                [
                    f"desk-{number % searchers}",
                    f"desk-{(number + 1) % searchers}",
                ],
            )
            for number in range(shards)
        ],
    )


def contract(customer: str = "acme", latency_ms: int = 0, **changes):
    """Returns a contract for the back end `desk`.

    Args:
      customer: Name of the customer.
      latency_ms: Target of the latency-first policy; with 0, the policy is
        coverage-first.
      **changes: Fields that differ from the sample.
    """
    policy = declarations.AnswerPolicy(
        coverage_first=None if latency_ms else declarations.CoverageFirst(),
        latency_first=declarations.LatencyFirst(latency_ms)
        if latency_ms
        else None,
    )
    fields = {
        "customer": customer,
        "key_digests": [hashlib.sha256(KEY.encode()).hexdigest()],
        "backends": ["desk"],
        "rate_per_s": 100.0,
        "burst": 20,
        "monthly_quantity": 1000,
        "max_shards": 10,
        "max_results": 50,
        "policy": policy,
    }
    return declarations.Contract(**{**fields, **changes})


def documents(
    vm_count: int = 3, revision: int = 1
) -> list[declarations.Document]:
    return [
        declarations.Document("zones", revision, zones=zones()),
        declarations.Document("vms", revision, vms=vms(vm_count)),
        declarations.Document("backends/desk", revision, backend=backend()),
        declarations.Document(
            "snapshots/desk",
            revision,
            snapshots=declarations.Snapshots(
                "desk", [snapshot("gen-1"), snapshot("gen-2")]
            ),
        ),
        declarations.Document(
            "contracts/all",
            revision,
            contracts=declarations.Contracts([contract()]),
        ),
    ]
