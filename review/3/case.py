"""A daemon that shuts down cuts off requests that it has accepted."""

import asyncio
import os
import pathlib
import signal
import sys
import time

from standins import deployment as deployments
from standins import record as records
from standins import requester as requesters
from standins import searcher as searchers
from standins import store as stores

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("ulaanbaatar-a", "ulaanbaatar-b", "darkhan", "erdenet")
HOST_NAME = "archive.example"
SERVICE = "archive-desk"
SEARCHERS = 2
SLOTS = 2
QUEUE = 8
WORK_MS = 1300
TIMEOUT_MS = 5000
GRACE_S = 6.0
# Requesters keep an address for up to three times `ttl_s`, which is 2 here.
RESOLVED_BEFORE_S = 1.0
SENT_AFTER_S = 3.4
REQUESTS = 8


class Case:
    """The deployment and what the requesters saw."""

    def __init__(self, record: records.Record):
        self.record = record
        self.store = stores.Store()
        self.searchers: list[searchers.Searcher] = []
        self.deployment: deployments.Deployment | None = None
        self.answered = 0
        self.lost = 0

    async def start(self) -> None:
        """Starts the store, the searchers and the daemons."""
        host, port = deployments.HOST, deployments.free_port()
        await self.store.start(host, port)
        for number in range(SEARCHERS):
            searcher = searchers.Searcher(
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
        await asyncio.sleep(6)

    async def play(self) -> None:
        """Stops a daemon as planned; requesters use it a little longer."""
        vm = self.deployment.vms[2]
        named = await self.deployment.resolve(vm, "darkhan")
        self.record.write("resolved", addrs=",".join(named))
        if "{}:{}".format(*vm.front) not in named:
            raise OSError("the directory does not name the daemon")
        await asyncio.sleep(RESOLVED_BEFORE_S)
        stopped_at = time.monotonic()
        if TROUBLE:
            self.deployment.send_signal(vm, signal.SIGTERM)
        await asyncio.sleep(SENT_AFTER_S)
        sent = asyncio.gather(
            *(self._request(vm, stopped_at) for _ in range(REQUESTS))
        )
        await asyncio.sleep(GRACE_S - SENT_AFTER_S)
        if TROUBLE and vm.process.poll() is None:
            # As the platform does after `grace-s`.
            self.deployment.send_signal(vm, signal.SIGKILL)
        await sent

    async def _request(self, vm: deployments.Vm, stopped_at: float) -> None:
        connection = requesters.Connection(vm.front, HOST_NAME, self.record)
        result = await connection.request(
            "POST", "/archive/r", TIMEOUT_MS, b"report"
        )
        connection.close()
        elapsed_s = time.monotonic() - stopped_at
        if result.response is not None:
            self.answered += 1
            return
        # A searcher began to work on it: it was read and passed on.
        was_run = any(result.request_id in s.runs for s in self.searchers)
        if was_run and elapsed_s <= GRACE_S + 1:
            self.lost += 1
            self.record.write(
                "LOST", id=result.request_id, after_s=f"{elapsed_s:.2f}"
            )


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
        record.write("result", answered=case.answered, lost=case.lost)
        record.close()
    print(f"answered {case.answered}, cut off {case.lost}")
    if not case.answered:
        return 2
    return 1 if case.lost else 0


# A script that is stopped ends its daemons as well.
signal.signal(signal.SIGTERM, signal.default_int_handler)
sys.exit(asyncio.run(main()))
