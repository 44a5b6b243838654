"""Runs a whole deployment as processes on loopback, for tests and examples."""

import contextlib
import hashlib
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

import orjson
import yaml

from citrondoor import declarations as declared

FLEET_KEY = "00112233445566778899aabbccddeeff"
OPERATOR_KEY = "operator-demo-key"
DECLARED_ADDRESS = "127.0.0.1"
PLATFORM_PORT = 20900
SEARCHER_CONTROL_PORT = 20910
START_TIMEOUT_S = 20.0
POLL_S = 0.05
HTTP_TIMEOUT_S = 5.0
# Loopback only: no proxy of the environment may stand between.
_OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


class LocalDeployment:
    """A platform, searchers and daemons.

    Args:
      directory: Declarations to publish.
      searcher_processes: Processes that share the searchers.
      daemon_command: Command of a daemon, before `--settings`.
      overrides: Settings by section that replace the defaults.
      address: Loopback number on which everything listens.
    """

    __slots__ = (
        "_address",
        "_daemon_command",
        "_directory",
        "_home",
        "_overrides",
        "_searcher_names",
        "_searcher_processes",
        "_vms",
        "daemons",
        "processes",
    )

    def __init__(
        self,
        directory: pathlib.Path,
        searcher_processes: int = 2,
        daemon_command: list[str] | None = None,
        overrides: dict | None = None,
        address: str = DECLARED_ADDRESS,
    ):
        self._address = address
        self._searcher_processes = searcher_processes
        self._daemon_command = daemon_command or [
            sys.executable,
            "-m",
            "citrondoor.daemon.main",
        ]
        self._overrides = overrides or {}
        self._home = pathlib.Path(tempfile.mkdtemp(prefix="citrondoor-rig-"))
        self.processes: list[subprocess.Popen] = []
        self.daemons: dict[str, subprocess.Popen] = {}
        self._directory = self._home / "declarations"
        _copy_declarations(directory, self._directory, address)
        catalogue = declared.Catalogue(declared.read_directory(self._directory))
        self._vms = catalogue.vms
        self._searcher_names = list(catalogue.searchers)

    @property
    def home(self) -> pathlib.Path:
        """Directory of settings and logs; removed by `stop`."""
        return self._home

    @property
    def vm_names(self) -> list[str]:
        """Names of the entry VMs."""
        return list(self._vms)

    @property
    def vms(self) -> list:
        """Declarations of the entry VMs."""
        return list(self._vms.values())

    @property
    def peer_places(self) -> list[str]:
        """`ADDRESS:PORT` of every daemon for its peers."""
        return [f"{vm.address}:{vm.peer_port}" for vm in self.vms]

    @property
    def searcher_names(self) -> list[str]:
        """Names of all searchers."""
        return self._searcher_names

    def url_of(self, vm: str) -> str:
        """Returns the URL of an entry VM."""
        found = self._vms[vm]
        return f"http://{found.address}:{found.http_port}"

    def start(self) -> None:
        """Starts everything and waits until all daemons serve."""
        module = [sys.executable, "-m", "citrondoor.standins.main"]
        where = ["--address", self._address, "--port", str(PLATFORM_PORT)]
        self._spawn("platform", [*module, "platform", *where])
        for part in range(self._searcher_processes):
            command = [
                *module,
                "searchers",
                str(self._directory),
                "--address",
                self._address,
                "--control-port",
                str(SEARCHER_CONTROL_PORT + part),
                "--part",
                str(part),
                "--parts",
                str(self._searcher_processes),
            ]
            self._spawn(f"searchers-{part}", command)
        self._wait_for(lambda: self.control_platform({}))
        self.publish_all()
        self.set_vm_list(self.vm_names, [])
        for part in range(self._searcher_processes):
            self._wait_for(lambda part=part: self._searcher_counters_of(part))
        for vm in self.vm_names:
            self.start_daemon(vm)
        for vm in self.vm_names:
            self.wait_ready(vm)

    def stop(self, keep_files: bool = False) -> None:
        """Ends everything that was started and removes its files.

        Args:
          keep_files: Whether to leave settings and logs, to look into them.
        """
        for process in [*self.daemons.values(), *self.processes]:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in [*self.daemons.values(), *self.processes]:
            process.wait()
        if not keep_files:
            shutil.rmtree(self._home, ignore_errors=True)

    def start_daemon(self, vm: str) -> None:
        """Starts the daemon of a VM."""
        path = self._home / f"{vm}.yaml"
        path.write_text(yaml.safe_dump(self._settings(vm)))
        command = [*self._daemon_command, "--settings", str(path)]
        with (self._home / f"{vm}.log").open("ab") as log:
            self.daemons[vm] = subprocess.Popen(command, stderr=log, stdout=log)

    def wait_ready(self, vm: str) -> None:
        """Waits until a daemon serves."""
        self._wait_for(lambda: self.is_ready(vm))

    def wait_ready_or_out(self, vm: str) -> None:
        """Waits until a daemon serves, or says that it is out of service."""
        self._wait_for(
            lambda: self.get_from_daemon(vm, "/v1/status")["state"] == "serving"
        )

    def is_ready(self, vm: str) -> bool:
        """Returns whether a daemon says that it serves."""
        try:
            request = urllib.request.Request(f"{self.url_of(vm)}/readyz")
            with _OPENER.open(request, timeout=HTTP_TIMEOUT_S):
                return True
        except OSError:
            return False

    def publish(self, key: str, text: str) -> int:
        """Publishes a value; returns its revision."""
        url = f"{self._platform_url()}/operators/values/{key}"
        return _call("PUT", url, text.encode())["revision"]

    def publish_all(self) -> None:
        """Publishes every declaration."""
        # Zones first: other documents name them.
        paths = sorted(self._directory.rglob("*.yaml"))
        order = {"zones": 0, "vms": 1, "backends": 2, "snapshots": 3}
        keyed = [
            (str(p.relative_to(self._directory).with_suffix("")), p)
            for p in paths
        ]
        keyed.sort(key=lambda k: (order.get(k[0].split("/")[0], 4), k[0]))
        for key, path in keyed:
            self.publish(key, path.read_text())

    def publish_zone(self, zone: str, state: str) -> int:
        """Takes a zone out or brings it back; keeps the others' state."""
        path = self._home / "zones.yaml"
        if not path.exists():
            path.write_text((self._directory / "zones.yaml").read_text())
        content = yaml.safe_load(path.read_text())
        for entry in content["zones"]:
            if entry["name"] == zone:
                entry["state"] = state
        text = yaml.safe_dump(content)
        path.write_text(text)
        return self.publish("zones", text)

    def set_vm_list(self, live: list[str], leaving: list[str]) -> None:
        """Sets the platform's list of VMs."""
        body = orjson.dumps({"live": live, "leaving": leaving})
        _call("PUT", f"{self._platform_url()}/operators/vms", body)

    def control_platform(self, content: dict) -> dict:
        """Makes the platform fail or recover; returns its counters."""
        body = orjson.dumps(content)
        return _call("POST", f"{self._platform_url()}/operators/control", body)

    def change_searchers(self, content: dict) -> None:
        """Changes the behaviour of searchers."""
        for part in range(self._searcher_processes):
            url = f"{self._control_url(part)}/change"
            _call("POST", url, orjson.dumps(content))

    def searcher_counters(self) -> dict[str, dict]:
        """Returns what all searchers have seen."""
        merged: dict[str, dict] = {}
        for part in range(self._searcher_processes):
            merged.update(self._searcher_counters_of(part))
        return merged

    def get_from_daemon(self, vm: str, path: str) -> dict:
        """Returns the JSON body of an operators' route."""
        return _call("GET", self.url_of(vm) + path, None)

    def _searcher_counters_of(self, part: int) -> dict:
        return _call("GET", f"{self._control_url(part)}/tallies", None)

    def _control_url(self, part: int) -> str:
        return f"http://{self._address}:{SEARCHER_CONTROL_PORT + part}"

    def _platform_url(self) -> str:
        return f"http://{self._address}:{PLATFORM_PORT}"

    def _settings(self, vm: str) -> dict:
        found = self._vms[vm]
        seeds = [
            f"{other.address}:{other.peer_port}"
            for other in self._vms.values()
            if other.name != vm
        ]
        settings = {
            "vm": vm,
            "zone": found.zone,
            "address": found.address,
            "http_port": found.http_port,
            "peer_port": found.peer_port,
            "platform": {"url": self._platform_url()},
            "peers": {"key": FLEET_KEY},
            "seeds": seeds,
            "operator_key_digest": hashlib.sha256(
                OPERATOR_KEY.encode()
            ).hexdigest(),
        }
        for section, values in self._overrides.items():
            settings.setdefault(section, {}).update(values)
        return settings

    def _spawn(self, name: str, command: list[str]) -> None:
        with (self._home / f"{name}.log").open("ab") as log:
            self.processes.append(
                subprocess.Popen(command, stderr=log, stdout=log)
            )

    def _wait_for(self, probe) -> None:
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                if probe():
                    return
            time.sleep(POLL_S)
        raise TimeoutError(f"not ready after {START_TIMEOUT_S} s: {self._home}")


def _copy_declarations(
    source: pathlib.Path, target: pathlib.Path, address: str
) -> None:
    for path in source.rglob("*.yaml"):
        copy = target / path.relative_to(source)
        copy.parent.mkdir(parents=True, exist_ok=True)
        text = path.read_text()
        copy.write_text(text.replace(DECLARED_ADDRESS, address))


def _call(method: str, url: str, body: bytes | None) -> dict:
    request = urllib.request.Request(url, data=body, method=method)
    request.add_header("authorization", f"Bearer {OPERATOR_KEY}")
    with _OPENER.open(request, timeout=HTTP_TIMEOUT_S) as response:
        return orjson.loads(response.read())
