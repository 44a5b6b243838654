"""A request that isn't idempotent runs twice after a repeated refusal."""

import asyncio
import collections
import os
import pathlib
import signal
import sys

from standins import deployment as deployments
from standins import garbling
from standins import record as records
from standins import requester as requesters
from standins import store as stores

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("ulaanbaatar-a", "ulaanbaatar-b", "darkhan", "erdenet")
HOST_NAME = "archive.example"
SERVICE = "archive-desk"
SEARCHERS = 2
SLOTS = 3
QUEUE = 2
WORK_MS = 20
TIMEOUT_MS = 5000
# `garble`, how = "extra late": share 0.5, x 0.04, for 5 s.
EXTRA_SHARE = 0.04
SPELL_S = 5.0
SPELLS = 17
PAUSE_S = 0.5
# Two more than the two searchers have room for.
CALLERS = 12
THINK_S = 0.01
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Case:
    """The deployment and what the searchers and requesters saw."""

    def __init__(self, record: records.Record):
        self.record = record
        self.store = stores.Store()
        self.searchers: list[garbling.GarblingSearcher] = []
        self.deployment: deployments.Deployment | None = None
        self.answered = 0
        self.refused: list[str] = []
        self.is_over = False

    async def start(self) -> None:
        """Starts the store, the searchers and the daemons."""
        host, port = deployments.HOST, deployments.free_port()
        await self.store.start(host, port)
        for number in range(SEARCHERS):
            searcher = garbling.GarblingSearcher(
                f"i-archive-{number}",
                SERVICE,
                ZONES[number % len(ZONES)],
                SLOTS,
                QUEUE,
                WORK_MS,
                self.record,
            )
            await searcher.start(host, deployments.free_port(), self.store)
            self.searchers.append(searcher)
        self.store.put("op/config", _make_config())
        vms = [deployments.Vm(f"front-{zone}-1", zone) for zone in ZONES]
        self.deployment = deployments.Deployment(
            vms, f"{host}:{port}", 300, self.record
        )
        await self.deployment.start_all()
        await asyncio.sleep(5)

    async def play(self) -> None:
        """Callers go on while one of two searchers repeats some answers."""
        tasks = [
            asyncio.create_task(
                self._keep_asking(self.deployment.vms[number % len(ZONES)])
            )
            for number in range(CALLERS)
        ]
        for _ in range(SPELLS):
            self.searchers[0].extra_share = EXTRA_SHARE if TROUBLE else 0.0
            await asyncio.sleep(SPELL_S)
            self.searchers[0].extra_share = 0.0
            await asyncio.sleep(PAUSE_S)
            if self.find_twice():
                break
        self.is_over = True
        await asyncio.gather(*tasks)

    async def _keep_asking(self, vm: deployments.Vm) -> None:
        connection = requesters.Connection(vm.front, HOST_NAME, self.record)
        while not self.is_over:
            result = await connection.request(
                "POST", "/archive/r", TIMEOUT_MS, b"report"
            )
            response = result.response
            if response is None:
                connection.close()
            elif response.status == 200:
                self.answered += 1
            elif response.status in NOT_RUN_STATUSES:
                self.refused.append(result.request_id)
                await asyncio.sleep(
                    float(response.headers.get("retry-after", "0.1"))
                )
            await asyncio.sleep(THINK_S)
        connection.close()

    def find_twice(self) -> list[str]:
        """Returns the ids of requests that ran more than once."""
        runs = collections.Counter(
            request_id for s in self.searchers for request_id in s.runs
        )
        return [request_id for request_id, count in runs.items() if count > 1]

    def find_refused_and_run(self) -> list[str]:
        """Returns the ids of requests that were refused, and ran."""
        runs = {request_id for s in self.searchers for request_id in s.runs}
        return [i for i in self.refused if i in runs]


def _make_config() -> dict:
    return {
        "version": 3,
        "routes": [
            {
                "name": "report-archive",
                "host": HOST_NAME,
                "prefix": "/archive/",
                "kind": "non_idempotent",
                "timeout-ms": TIMEOUT_MS,
                "goal-ms": 800,
                "priority": 2,
                "service": SERVICE,
                "max-attempts": 2,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health-path": "/healthz",
                "max-connections": 100,
                "warmup-s": 3.0,
                "warmup-per-s": 0.0,
            }
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 5000,
            "idle-timeout-ms": 20000,
        },
    }


async def main() -> int:
    """Plays the case; returns the exit status."""
    record = records.Record(HERE / "record.txt")
    case = Case(record)
    try:
        await case.start()
        await case.play()
    except Exception as error:
        # Whatever it is, the rule was not shown to be broken.
        print(f"could not run: {error!r}")
        return 2
    finally:
        if case.deployment is not None:
            case.deployment.stop()
            # The stand-ins close their ends.
            await asyncio.sleep(0.2)
        twice = case.find_twice()
        for request_id in twice:
            record.write("TWICE", id=request_id)
        refused = case.find_refused_and_run()
        for request_id in refused:
            record.write("REFUSED", id=request_id)
        text = (
            f"answered {case.answered}, refused {len(case.refused)}, repeated"
            f" answers {sum(s.extra_count for s in case.searchers)}, ran twice"
            f" {len(twice)}, refused and ran {len(refused)}"
        )
        record.write(text)
        record.close()
    print(text)
    if not case.answered:
        return 2
    return 1 if twice else 0


# A script that is stopped ends its daemons as well.
signal.signal(signal.SIGTERM, signal.default_int_handler)
sys.exit(asyncio.run(main()))
