"""Runs a whole deployment as processes on loopback.

Used by tests, benchmarks and examples.
"""

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

PEERS_KEY = "00112233445566778899aabbccddeeff"
OPERATOR_KEY = "operator-demo-key"
DECLARED_ADDRESS = "127.0.0.1"
PLATFORM_PORT = 20900
# Control port of the first searcher process; the others use the ports after it.
FIRST_SEARCHER_CONTROL_PORT = 20910
# Limit of each wait for one process; `start` makes several such waits.
READY_TIMEOUT_S = 20.0
POLL_S = 0.05
HTTP_TIMEOUT_S = 5.0
# All URLs are on loopback, so proxies set in the environment are ignored.
_OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


class LocalDeployment:
    """Processes of a platform, searchers and daemons.

    Args:
      directory: Directory of the declarations to publish.
      searcher_processes: Number of processes among which the searchers are
        divided.
      daemon_command: Command that starts a daemon, without `--settings`; None
        runs `citrondoor.daemon.main`.
      overrides: Settings by section that replace the defaults.
      address: Loopback address on which everything listens.

    Attributes:
      daemons: The last started process of each VM's daemon, by VM.
      processes: Processes of the platform and the searchers.
    """

    __slots__ = (
        "_address",
        "_daemon_command",
        "_directory",
        "_overrides",
        "_searcher_names",
        "_searcher_processes",
        "_vms",
        "_work_directory",
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
        self._work_directory = pathlib.Path(
            tempfile.mkdtemp(prefix="citrondoor-rig-")
        )
        self.processes: list[subprocess.Popen] = []
        self.daemons: dict[str, subprocess.Popen] = {}
        self._directory = self._work_directory / "declarations"
        _copy_declarations(directory, self._directory, address)
        catalogue = declared.Catalogue(declared.read_directory(self._directory))
        self._vms = catalogue.vms
        self._searcher_names = list(catalogue.searchers)

    @property
    def work_directory(self) -> pathlib.Path:
        """Directory of settings, logs and declarations.

        `stop` removes it unless `keep_files` is set.
        """
        return self._work_directory

    @property
    def vm_names(self) -> list[str]:
        """Names of the entry VMs."""
        return list(self._vms)

    @property
    def vms(self) -> list:
        """Declarations of the entry VMs."""
        return list(self._vms.values())

    @property
    def peer_endpoints(self) -> list[str]:
        """`ADDRESS:PORT` at which each daemon accepts its peers."""
        return [f"{vm.address}:{vm.peer_port}" for vm in self.vms]

    @property
    def searcher_names(self) -> list[str]:
        """Names of all searchers."""
        return self._searcher_names

    def url_of(self, vm: str) -> str:
        """Returns the HTTP URL of an entry VM's daemon."""
        declared_vm = self._vms[vm]
        return f"http://{declared_vm.address}:{declared_vm.http_port}"

    def start(self) -> None:
        """Starts all processes and waits until every daemon is ready.

        Raises:
          TimeoutError: A process wasn't ready after `READY_TIMEOUT_S`.
        """
        module = [sys.executable, "-m", "citrondoor.standins.main"]
        listen_options = [
            "--address",
            self._address,
            "--port",
            str(PLATFORM_PORT),
        ]
        self._spawn("platform", [*module, "platform", *listen_options])
        for part in range(self._searcher_processes):
            command = [
                *module,
                "searchers",
                str(self._directory),
                "--address",
                self._address,
                "--control-port",
                str(FIRST_SEARCHER_CONTROL_PORT + part),
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
        """Kills all processes that were started and removes their files.

        Args:
          keep_files: Whether to keep `work_directory`.
        """
        for process in [*self.daemons.values(), *self.processes]:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in [*self.daemons.values(), *self.processes]:
            process.wait()
        if not keep_files:
            shutil.rmtree(self._work_directory, ignore_errors=True)

    def start_daemon(self, vm: str) -> None:
        """Starts the daemon of a VM."""
        path = self._work_directory / f"{vm}.yaml"
        path.write_text(yaml.safe_dump(self._settings(vm)))
        command = [*self._daemon_command, "--settings", str(path)]
        with (self._work_directory / f"{vm}.log").open("ab") as log:
            self.daemons[vm] = subprocess.Popen(command, stderr=log, stdout=log)

    def wait_ready(self, vm: str) -> None:
        """Waits until a daemon's /readyz succeeds."""
        self._wait_for(lambda: self.is_ready(vm))

    def wait_until_serving(self, vm: str) -> None:
        """Waits until a daemon's /v1/status has the state `serving`.

        Unlike /readyz, this includes a daemon whose zone is out of service.
        """
        self._wait_for(
            lambda: self.get_from_daemon(vm, "/v1/status")["state"] == "serving"
        )

    def is_ready(self, vm: str) -> bool:
        """Returns whether a daemon's /readyz succeeds."""
        try:
            request = urllib.request.Request(f"{self.url_of(vm)}/readyz")
            with _OPENER.open(request, timeout=HTTP_TIMEOUT_S):
                return True
        except OSError:
            return False

    def publish(self, key: str, text: str) -> int:
        """Writes a value to the platform and returns its revision."""
        url = f"{self._platform_url()}/operators/values/{key}"
        return _call("PUT", url, text.encode())["revision"]

    def publish_all(self) -> None:
        """Publishes all declarations of the directory."""
        # A document follows those that it refers to; zones are first.
        paths = sorted(self._directory.rglob("*.yaml"))
        order = {"zones": 0, "vms": 1, "backends": 2, "snapshots": 3}
        keyed = [
            (str(path.relative_to(self._directory).with_suffix("")), path)
            for path in paths
        ]
        keyed.sort(
            key=lambda item: (order.get(item[0].split("/")[0], 4), item[0])
        )
        for key, path in keyed:
            self.publish(key, path.read_text())

    def publish_zone(self, zone: str, state: str) -> int:
        """Publishes the state of a zone; other zones keep theirs.

        Args:
          zone: Name of the zone.
          state: `in` or `out` of service.

        Returns:
          The revision of the published zones.
        """
        path = self._work_directory / "zones.yaml"
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
        """Sets the platform's list of live and leaving VMs."""
        body = orjson.dumps({"live": live, "leaving": leaving})
        _call("PUT", f"{self._platform_url()}/operators/vms", body)

    def control_platform(self, content: dict) -> dict:
        """Makes the platform fail or recover.

        Args:
          content: `down`: whether reads fail. `frozen`: true hides the changes
            after the current revision from readers, false hides none.
            `frozen_at`: the last revision that readers see; it replaces
            `frozen`. Absent keys change nothing.

        Returns:
          The platform's revision and its read counters.
        """
        body = orjson.dumps(content)
        return _call("POST", f"{self._platform_url()}/operators/control", body)

    def change_searchers(self, content: dict) -> None:
        """Changes searchers.

        Args:
          content: `searchers` lists their names; absent or empty means all.
            `turn_cold`: whether to make them cold. `add_snapshot`: the `name`
            of a snapshot and its `shards`, the number of records by shard. Any
            other key sets the attribute of `searcher.Behaviour` with this name.
        """
        for part in range(self._searcher_processes):
            url = f"{self._control_url(part)}/change"
            _call("POST", url, orjson.dumps(content))

    def searcher_counters(self) -> dict[str, dict]:
        """Returns the counters of all searchers by name of the searcher."""
        counters: dict[str, dict] = {}
        for part in range(self._searcher_processes):
            counters.update(self._searcher_counters_of(part))
        return counters

    def get_from_daemon(self, vm: str, path: str) -> dict:
        """Returns the JSON body of a GET request with the operator's key."""
        return _call("GET", self.url_of(vm) + path, None)

    def _searcher_counters_of(self, part: int) -> dict:
        return _call("GET", f"{self._control_url(part)}/tallies", None)

    def _control_url(self, part: int) -> str:
        return f"http://{self._address}:{FIRST_SEARCHER_CONTROL_PORT + part}"

    def _platform_url(self) -> str:
        return f"http://{self._address}:{PLATFORM_PORT}"

    def _settings(self, vm: str) -> dict:
        declared_vm = self._vms[vm]
        seeds = [
            f"{other.address}:{other.peer_port}"
            for other in self._vms.values()
            if other.name != vm
        ]
        settings = {
            "vm": vm,
            "zone": declared_vm.zone,
            "address": declared_vm.address,
            "http_port": declared_vm.http_port,
            "peer_port": declared_vm.peer_port,
            "platform": {"url": self._platform_url()},
            "peers": {"key": PEERS_KEY},
            "seeds": seeds,
            "operator_key_digest": hashlib.sha256(
                OPERATOR_KEY.encode()
            ).hexdigest(),
        }
        for section, values in self._overrides.items():
            settings.setdefault(section, {}).update(values)
        return settings

    def _spawn(self, name: str, command: list[str]) -> None:
        with (self._work_directory / f"{name}.log").open("ab") as log:
            self.processes.append(
                subprocess.Popen(command, stderr=log, stdout=log)
            )

    def _wait_for(self, probe) -> None:
        timeout_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < timeout_at:
            with contextlib.suppress(OSError):
                if probe():
                    return
            time.sleep(POLL_S)
        raise TimeoutError(
            f"not ready after {READY_TIMEOUT_S} s;"
            f" logs are in {self._work_directory}"
        )


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
