"""Injects random faults into a running local deployment.

Faults concern daemons, links between peers, the platform, declarations that
operators change, and searchers.
"""

import asyncio
import collections
import random
import signal
import time

import orjson
import yaml

from citrondoor.standins import faulty_daemon
from citrondoor.standins import local_deployment

# Shortest and longest time between the starts of two faults.
FAULT_INTERVAL_RANGE_S = (1.0, 6.0)


class Faults:
    """Starts random faults; temporary ones end after a random time.

    Args:
      deployment: The running deployment.
      rng: Random generator for the choice, order and duration of faults.
      contracts_text: YAML of the declared contracts.
      names: Names of the faults to choose from; empty means all.

    Attributes:
      counts: Number of faults started, by name.
      problems: Descriptions of what went wrong besides the intended faults.
    """

    __slots__ = (
        "_contracts_text",
        "_deployment",
        "_names",
        "_out_zones",
        "_rng",
        "_tasks",
        "_vms_in_fault",
        "counts",
        "problems",
    )

    def __init__(
        self,
        deployment: local_deployment.LocalDeployment,
        rng: random.Random,
        contracts_text: str,
        names: tuple[str, ...] = (),
    ):
        self._deployment = deployment
        self._rng = rng
        self._contracts_text = contracts_text
        self._names = names
        self._out_zones: set[str] = set()
        # VMs with a fault, or with one that ended a few seconds ago.
        self._vms_in_fault: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self.problems: list[str] = []

    async def run(self, ends_at: float) -> None:
        """Starts faults until `ends_at` (`time.monotonic()`, in s).

        The last fault may start up to the longest interval after `ends_at`.
        Faults may still be active on return; `finish` waits for them.
        """
        faults = {
            "crash": self._crash,
            "pause": self._pause,
            "restart": self._restart,
            "partition": self._partition,
            "zone out": self._zone_out,
            "contract changed": self._change_contract,
            "platform down": self._platform_down,
            "platform stale": self._platform_stale,
            "searchers cold": self._searchers_cold,
            "searchers straggle": self._searchers_straggle,
            "snapshot missing": self._snapshot_missing,
            "searchers down": self._searchers_down,
        }
        names = self._names or tuple(faults)
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_RANGE_S))
            fault = faults[self._rng.choice(names)]
            task = asyncio.create_task(fault())
            self._tasks.add(task)
            task.add_done_callback(self._on_fault_end)

    def _on_fault_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.problems.append(f"fault failed: {task.exception()!r}")

    def _choose_vm(self) -> str | None:
        # A count survives the loss of two of the five VMs only if three VMs in
        # different zones store it. While zones are unreachable, fewer do, so
        # faults of VMs don't overlap.
        if self._vms_in_fault:
            return None
        vm = self._rng.choice(self._deployment.vm_names)
        self._vms_in_fault.add(vm)
        return vm

    def _record_fault(self, kind: str) -> None:
        self.counts[kind] += 1

    async def _crash(self) -> None:
        vm = self._choose_vm()
        if vm is None:
            return
        self._record_fault("crash")
        process = self._deployment.daemons[vm]
        process.kill()
        await asyncio.to_thread(process.wait)
        await asyncio.sleep(self._rng.uniform(0.2, 5))
        await self._start_again(vm)

    async def _start_again(self, vm: str) -> None:
        self._deployment.start_daemon(vm)
        await asyncio.to_thread(self._deployment.wait_until_serving, vm)
        # The replicas of counts that this VM lost are restored in this time.
        # Until then, no fault may stop another VM.
        await asyncio.sleep(2.0)
        self._vms_in_fault.discard(vm)

    async def _pause(self) -> None:
        vm = self._choose_vm()
        if vm is None:
            return
        self._record_fault("pause")
        process = self._deployment.daemons[vm]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.5, 6))
        process.send_signal(signal.SIGCONT)
        # No other fault of a VM starts in this time.
        await asyncio.sleep(1.0)
        self._vms_in_fault.discard(vm)

    async def _restart(self) -> None:
        vm = self._choose_vm()
        if vm is None:
            return
        self._record_fault("restart")
        process = self._deployment.daemons[vm]
        process.send_signal(signal.SIGTERM)
        status = await asyncio.to_thread(process.wait)
        if status != 0:
            self.problems.append(f"{vm} exited with status {status}")
        await self._start_again(vm)

    async def _partition(self) -> None:
        if self._vms_in_fault:
            return
        self._record_fault("partition")
        names = self._deployment.vm_names
        endpoints = self._rng.sample(
            self._deployment.peer_endpoints, len(names)
        )
        self._vms_in_fault.update(names)
        path = self._deployment.work_directory / faulty_daemon.PARTITION_FILE
        path.write_bytes(orjson.dumps([endpoints[:2], endpoints[2:]]))
        await asyncio.sleep(self._rng.uniform(1, 8))
        path.unlink()
        # No fault of a VM starts in this time.
        await asyncio.sleep(3.0)
        self._vms_in_fault.clear()

    async def _zone_out(self) -> None:
        zones = [vm.zone for vm in self._deployment.vms]
        zone = self._rng.choice(zones)
        if self._out_zones:
            return
        self._out_zones.add(zone)
        self._record_fault("zone out")
        await asyncio.to_thread(self._deployment.publish_zone, zone, "out")
        await asyncio.sleep(self._rng.uniform(3, 10))
        await asyncio.to_thread(self._deployment.publish_zone, zone, "in")
        # No zone is put out of service in this time.
        await asyncio.sleep(2.0)
        self._out_zones.discard(zone)

    async def _change_contract(self) -> None:
        self._record_fault("contract changed")
        content = yaml.safe_load(self._contracts_text)
        for contract in content["contracts"]:
            contract["rate_per_s"] = self._rng.choice((100.0, 200.0, 400.0))
            contract["burst"] = self._rng.choice((50, 100))
        text = yaml.safe_dump(content)
        await asyncio.to_thread(
            self._deployment.publish, "contracts/customers", text
        )

    async def _platform_down(self) -> None:
        self._record_fault("platform down")
        control = self._deployment.control_platform
        await asyncio.to_thread(control, {"down": True})
        await asyncio.sleep(self._rng.uniform(2, 10))
        await asyncio.to_thread(control, {"down": False})

    async def _platform_stale(self) -> None:
        self._record_fault("platform stale")
        control = self._deployment.control_platform
        counters = await asyncio.to_thread(control, {})
        # The platform may then return an older revision than daemons have read
        # already.
        frozen_at = max(1, counters["revision"] - self._rng.randrange(3))
        await asyncio.to_thread(control, {"frozen_at": frozen_at})
        await asyncio.sleep(self._rng.uniform(2, 10))
        await asyncio.to_thread(control, {"frozen": False})

    def _choose_searchers(self) -> list[str]:
        names = self._deployment.searcher_names
        return self._rng.sample(names, self._rng.randrange(1, 12))

    async def _searchers_cold(self) -> None:
        self._record_fault("searchers cold")
        change = {"searchers": self._choose_searchers(), "turn_cold": True}
        await asyncio.to_thread(self._deployment.change_searchers, change)

    async def _searchers_straggle(self) -> None:
        self._record_fault("searchers straggle")
        names = self._choose_searchers()
        change_searchers = self._deployment.change_searchers
        slow = {"searchers": names, "straggler_share": 0.2}
        await asyncio.to_thread(change_searchers, slow)
        await asyncio.sleep(self._rng.uniform(1, 6))
        normal = {"searchers": names, "straggler_share": 0.0}
        await asyncio.to_thread(change_searchers, normal)

    async def _snapshot_missing(self) -> None:
        self._record_fault("snapshot missing")
        names = self._choose_searchers()
        change_searchers = self._deployment.change_searchers
        removed = {"searchers": names, "missing_snapshots": ["gen-0002"]}
        await asyncio.to_thread(change_searchers, removed)
        await asyncio.sleep(self._rng.uniform(1, 5))
        restored = {"searchers": names, "missing_snapshots": []}
        await asyncio.to_thread(change_searchers, restored)

    async def _searchers_down(self) -> None:
        self._record_fault("searchers down")
        names = self._choose_searchers()
        change_searchers = self._deployment.change_searchers
        await asyncio.to_thread(
            change_searchers, {"searchers": names, "is_down": True}
        )
        await asyncio.sleep(self._rng.uniform(0.5, 3))
        restarted = {"searchers": names, "is_down": False, "turn_cold": True}
        await asyncio.to_thread(change_searchers, restarted)

    async def finish(self) -> None:
        """Waits for the end of active faults and restores the platform."""
        if self._tasks:
            await asyncio.wait(list(self._tasks))
        await asyncio.to_thread(
            self._deployment.control_platform, {"down": False, "frozen": False}
        )
