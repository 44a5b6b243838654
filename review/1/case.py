"""A restarted daemon takes part answers meant for its predecessor."""

import asyncio
import os
import pathlib
import signal
import sys

from standins import deployment as deployments
from standins import record as records
from standins import requester as requesters
from standins import searcher as searchers
from standins import store as stores

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("ulaanbaatar-a", "ulaanbaatar-b", "darkhan", "erdenet")
HOST_NAME = "search.example"
SHARDS = 20
WORK_MS = 110
DEADLINE_MS = 1200
# `srv_slow`: share 0.15, x 9.5, for 8 s.
SLOW_SHARDS = 3
SLOW_FACTOR = 9.5
ROUNDS = 8
# Callers that send at the same time, before and after the restart.
CALLERS = 6
KILL_AFTER_S = 0.06
# After the restarted daemon's directory names all VMs.
PAUSE_S = 0.25


class Case:
    """The deployment and what the requesters saw."""

    def __init__(self, record: records.Record):
        self.record = record
        self.store = stores.Store()
        self.searchers: list[searchers.Searcher] = []
        self.deployment: deployments.Deployment | None = None
        self.wrong = 0
        self.served = 0

    async def start(self) -> None:
        """Starts the store, the searchers and the daemons."""
        host, port = deployments.HOST, deployments.free_port()
        await self.store.start(host, port)
        shards = [f"shard{number:02}" for number in range(SHARDS)]
        for shard in shards:
            for zone in ZONES[:2]:
                searcher = searchers.Searcher(
                    f"i-{shard}-{zone[-1]}",
                    shard,
                    zone,
                    3,
                    18,
                    WORK_MS,
                    self.record,
                )
                await searcher.start(host, deployments.free_port(), self.store)
                self.searchers.append(searcher)
        self.store.put("op/config", _make_config(shards))
        vms = [deployments.Vm(f"front-{zone}-1", zone) for zone in ZONES]
        self.deployment = deployments.Deployment(
            vms, f"{host}:{port}", 300, self.record
        )
        await self.deployment.start_all()
        await asyncio.sleep(6)

    async def query_all(self, vm: deployments.Vm) -> None:
        """Sends one query of each caller at the same time."""
        await asyncio.gather(*(self._query(vm) for _ in range(CALLERS)))

    async def _query(self, vm: deployments.Vm) -> None:
        connection = requesters.Connection(vm.front, HOST_NAME, self.record)
        result = await connection.request("GET", "/history/q", DEADLINE_MS)
        connection.close()
        response = result.response
        if response is None or response.status != 200:
            return
        self.served += 1
        stamps = [
            stamp.strip()
            for stamp in response.headers["x-part-stamps"].split(",")
        ]
        foreign = [s for s in stamps if s.split(".")[-1] != result.request_id]
        if foreign:
            self.wrong += 1
            self.record.write("FOREIGN", id=result.request_id, stamps=foreign)

    def set_slow(self, is_slow: bool) -> None:
        """Makes 6 of the 40 searchers slow, or fast again."""
        for searcher in self.searchers[: 2 * SLOW_SHARDS]:
            searcher.slow_factor = SLOW_FACTOR if is_slow else 1.0

    async def play_round(self, vm: deployments.Vm) -> None:
        """Kills a daemon while its first queries wait for slow searchers."""
        self.set_slow(TROUBLE)
        first = asyncio.create_task(self.query_all(vm))
        await asyncio.sleep(KILL_AFTER_S)
        if TROUBLE:
            self.deployment.send_signal(vm, signal.SIGKILL)
            vm.process.wait()
            self.deployment.start(vm)
        await first
        await self.deployment.wait_joined(vm)
        await asyncio.sleep(PAUSE_S)
        await self.query_all(vm)
        self.set_slow(False)
        await asyncio.sleep(2)

    async def restart(self, vm: deployments.Vm) -> None:
        """Kills and starts a daemon that has no requests."""
        self.deployment.send_signal(vm, signal.SIGKILL)
        vm.process.wait()
        self.deployment.start(vm)
        await self.deployment.wait_joined(vm)
        await asyncio.sleep(1)


def _make_config(shards: list[str]) -> dict:
    return {
        "version": 3,
        "routes": [
            {
                "name": "building-history",
                "host": HOST_NAME,
                "prefix": "/history/",
                "kind": "idempotent",
                "timeout-ms": DEADLINE_MS,
                "goal-ms": 247,
                "priority": 1,
                "gather": shards,
                "max-attempts": 2,
                "top-k": 20,
                "min-part-share": 0.89,
            }
        ],
        "services": [
            {
                "name": shard,
                "health-path": "/healthz",
                "max-connections": 31,
                "warmup-s": 3.0,
                "warmup-per-s": 0.0,
            }
            for shard in shards
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
        for number in range(ROUNDS):
            # The daemons in the two zones without searchers, in turn.
            vm = case.deployment.vms[2 + number % 2]
            if TROUBLE and number > 1:
                await case.restart(vm)
            await case.play_round(vm)
            if case.wrong:
                break
    except Exception as error:
        # Whatever it is, the rule was not shown to be broken.
        print(f"could not run: {error!r}")
        return 2
    finally:
        if case.deployment is not None:
            case.deployment.stop()
            # The stand-ins close their ends.
            await asyncio.sleep(0.2)
        record.write("result", served=case.served, wrong=case.wrong)
        record.close()
    print(f"served {case.served}, with a foreign part {case.wrong}")
    if not case.served:
        return 2
    return 1 if case.wrong else 0


# A script that is stopped ends its daemons as well.
signal.signal(signal.SIGTERM, signal.default_int_handler)
sys.exit(asyncio.run(main()))
