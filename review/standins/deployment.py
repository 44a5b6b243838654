"""Starts the project's daemons as the deploy file does, on loopback."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import socket
import subprocess
import tempfile

from standins import record as records
from standins import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
# What `run` of the deploy file says.
COMMAND = ["python3", "-S", "-P", "-m", "citrondoor.platform"]
HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
PORTS = (18_000, 32_000)
_taken_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that nobody listens on, and that was not returned yet.

    It is below those that the system gives to outgoing connections.
    """
    while True:
        port = random.randrange(*PORTS)
        if port in _taken_ports:
            continue
        _taken_ports.add(port)
        try:
            with socket.create_server((HOST, port)):
                return port
        except OSError:
            continue


class Vm:
    """One entry VM and its daemon.

    Args:
      name: Name of the VM.
      zone: Its zone.
    """

    def __init__(self, name: str, zone: str):
        self.name = name
        self.zone = zone
        self.process: subprocess.Popen | None = None
        self.ports = {
            role: free_port()
            for role in ("front", "readiness", "directory", "peers", "metrics")
        }

    def address(self, role: str) -> str:
        """Returns the address of what the daemon serves."""
        return f"{HOST}:{self.ports[role]}"

    @property
    def front(self) -> tuple[str, int]:
        """Host and port for requesters."""
        return (HOST, self.ports["front"])


class Deployment:
    """The daemons of a small deployment.

    Args:
      vms: The entry VMs.
      store_address: Address of the store.
      memory_mb: Memory of a VM.
      record: Where it writes starts and ends.
    """

    def __init__(
        self,
        vms: list[Vm],
        store_address: str,
        memory_mb: int,
        record: records.Record,
    ):
        self.vms = vms
        self._store_address = store_address
        self._memory_mb = memory_mb
        self._record = record
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    def start(self, vm: Vm) -> None:
        """Starts the daemon of a VM with the settings of the template."""
        path = self._folder / f"{vm.name}.yaml"
        path.write_text(self._settings(vm))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CITRONDOOR_SETTINGS"] = str(path)
        with (self._folder / f"{vm.name}.log").open("ab") as log:
            vm.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write("start", vm=vm.name, pid=vm.process.pid)

    def send_signal(self, vm: Vm, number: int) -> None:
        """Sends a signal to the daemon of a VM."""
        self._record.write("signal", vm=vm.name, number=int(number))
        vm.process.send_signal(number)

    async def wait_ready(self, vm: Vm) -> None:
        """Waits until the daemon's readiness check says 200.

        Raises:
          TimeoutError: It did not within `READY_TIMEOUT_S`.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready(vm):
                await asyncio.sleep(0.01)
        self._record.write("ready", vm=vm.name)

    async def resolve(self, vm: Vm, zone: str) -> list[str]:
        """Returns the addresses that a daemon names to a requester."""
        target = f"/-/resolve?name=x&region=mn-central&zone={zone}"
        response = await _get(vm.ports["directory"], target)
        if response is None or response.status != 200:
            return []
        return json.loads(response.body)["addrs"]

    async def wait_joined(self, vm: Vm) -> None:
        """Waits until the daemon's directory names all VMs.

        Raises:
          TimeoutError: It did not within `READY_TIMEOUT_S`.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while len(await self.resolve(vm, vm.zone)) < len(self.vms):
                await asyncio.sleep(0.01)
        self._record.write("joined", vm=vm.name)

    async def start_all(self) -> None:
        """Starts all daemons and waits until they are ready."""
        for vm in self.vms:
            self.start(vm)
        for vm in self.vms:
            await self.wait_ready(vm)

    def log_text(self, vm: Vm) -> str:
        """Returns what the daemon of a VM has logged."""
        return (self._folder / f"{vm.name}.log").read_text(errors="replace")

    def stop(self) -> None:
        """Kills all daemons and removes their files."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
        for vm in self.vms:
            if vm.process is not None:
                vm.process.wait()
        if "KEEP" in os.environ:
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    async def _is_ready(self, vm: Vm) -> bool:
        response = await _get(vm.ports["readiness"], "/-/readyz")
        return response is not None and response.status == 200

    def _settings(self, vm: Vm) -> str:
        """Returns what the template gives for the fields of the users."""
        seeds = ", ".join(f'"{v.address("peers")}"' for v in self.vms[:3])
        zones = dict.fromkeys(v.zone for v in self.vms)
        lines = [
            f'vm: "{vm.name}"',
            f'zone: "{vm.zone}"',
            'region: "mn-central"',
            f'front: "{vm.address("front")}"',
            f'readiness: "{vm.address("readiness")}"',
            f'directory: "{vm.address("directory")}"',
            f'peers: "{vm.address("peers")}"',
            f'metrics: "{vm.address("metrics")}"',
            f"seeds: [{seeds}]",
            f"memory_mb: {self._memory_mb}",
            "store:",
            f'  address: "{self._store_address}"',
            "bounds:",
            "  grace_s: 6",
            "  extra_ratio: 0.2",
            "  extra_window_s: 10",
            "  extra_slack: 54",
            "  warmup_factor: 1.5",
            "  warmup_slack: 5",
            "  entries_ttl_s: 2",
            "zones:",
        ]
        for zone in zones:
            lines += [f'  - zone: "{zone}"', '    region: "mn-central"']
        return "\n".join(lines) + "\n"


async def _get(port: int, target: str) -> wire.Message | None:
    """Returns the response to a GET request; None if there is none."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return None
    try:
        headers = {"Host": "daemon", "Connection": "close"}
        writer.write(wire.encode_request("GET", target, headers))
        return await wire.read_message(reader)
    except (OSError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()
