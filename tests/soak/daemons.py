"""Daemons under the limits of their platform, and a watch over their ends."""

import asyncio
import contextlib
import fcntl
import os
import pathlib
import resource
import signal
import socket
import sys
import sysconfig
import time

import orjson
import yaml

from citrondoor.schema import serving
from tests.platform import deployment as deployments

PORT_NAMES = ("front", "readiness", "directory", "peers", "metrics")
MEMORY_MB = 300
MB_PER_KIB = 1024 / 1_000_000
SAMPLE_INTERVAL_S = 0.05
READY_INTERVAL_S = 0.25
RESTART_DELAY_S = 0.3
# Time from a start until a daemon serves, while nothing prevents it.
START_TIMEOUT_S = 12.0
PIPE_BYTES = 4096
MAX_LINE_BYTES = 300
ENVIRONMENT_NAMES = ("PATH", "HOME", "LANG")


def reserve_port(port):
    """Keeps other runs from a port while no daemon listens on it."""
    sock = socket.socket()
    sock.bind((deployments.HOST, port))
    # Set after `bind`, which thus fails where another run has the port.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock


class Output:
    """Pipe for a daemon's log; copied to a file while its state is `read`."""

    def __init__(self, path, log_path):
        os.mkfifo(path)
        self.path, self.log_path, self.fd = path, log_path, None
        self.open()
        self.writer = os.open(path, os.O_WRONLY)

    def open(self):
        if self.fd is None:
            self.fd = os.open(self.path, os.O_RDONLY | os.O_NONBLOCK)
            fcntl.fcntl(self.fd, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.state = "read"
        asyncio.get_running_loop().add_reader(self.fd, self.copy)

    def fill(self):
        if self.state == "read":
            asyncio.get_running_loop().remove_reader(self.fd)
            self.state = "full"

    def close(self):
        self.copy()
        self.fill()
        if self.fd is not None:
            os.close(self.fd)
        self.fd, self.state = None, "closed"

    def copy(self):
        if self.fd is not None:
            with contextlib.suppress(BlockingIOError):
                data = os.read(self.fd, 1 << 16)
                with self.log_path.open("ab") as log:
                    log.write(data)


class Daemon(deployments.Daemon):
    """A daemon process with the limits, environment and output of a platform.

    Attributes:
      hindrances: What may keep the process from starting to serve now.
      hindered_at: Monotonic time until which something may have done so.
    """

    # As the deploy file does; without `site`, the libraries are on the path.
    command = (
        sys.executable,
        *("-S", "-P"),
        str(deployments.ROOT / "deploy" / "entry.py"),
    )
    path = os.pathsep.join(
        (str(deployments.ROOT), sysconfig.get_path("purelib"))
    )

    def __init__(self, max_fds, *arguments):
        super().__init__(*arguments)
        self.max_fds = max_fds
        settings = yaml.safe_load(self.settings_path.read_text())
        settings["memory_mb"] = MEMORY_MB
        # Versions before this limit refuse settings that name it.
        if "max_fds" in serving.EntrySettings.__slots__:
            settings["max_fds"] = max_fds
        self.settings_path.write_text(yaml.safe_dump(settings))
        self.log_path.touch()
        pipe_path = self.settings_path.with_suffix(".pipe")
        self.output = Output(pipe_path, self.log_path)
        self.sockets = [reserve_port(getattr(self, n)) for n in PORT_NAMES]
        self.pidfd = None
        self.on_end = lambda daemon: None
        self.hindrances = set()

    @property
    def is_running(self):
        return self.process.returncode is None

    async def start(self):
        if self.process is not None:
            self.on_end(self)
        self.output.copy()
        log_start = self.log_path.stat().st_size
        # The old process counts until there is a new one.
        process = await asyncio.create_subprocess_exec(
            *self.command,
            stdout=self.output.writer,
            stderr=self.output.writer,
            env={n: os.environ[n] for n in ENVIRONMENT_NAMES if n in os.environ}
            | {
                "CITRONDOOR_SETTINGS": str(self.settings_path),
                "PYTHONPATH": self.path,
            },
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds)
            ),
        )
        self.process, self.log_start = process, log_start
        self.sent_signals = set()
        self.started_at = self.hindered_at = time.monotonic()
        self.is_judged = self.is_ready = False
        self.resident_mb = self.peak_mb = 0.0
        if self.pidfd is not None:
            os.close(self.pidfd)
        self.pidfd = None
        # It may have ended already.
        with contextlib.suppress(ProcessLookupError):
            self.pidfd = os.pidfd_open(process.pid)

    def close(self):
        self.output.close()
        os.close(self.output.writer)
        for sock in self.sockets:
            sock.close()

    def send_signal(self, number):
        if self.pidfd is None:
            return
        # `Popen.send_signal` would take the exit status from asyncio.
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.pidfd, number)
            self.sent_signals.add(number)

    def sample_memory(self):
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        with contextlib.suppress(OSError):
            fields = [line.split() for line in path.read_text().splitlines()]
            kib = {f[0]: int(f[1]) for f in fields if f[0][:2] == "Vm"}
            # A process that has ended has neither.
            self.peak_mb = kib.get("VmHWM:", 0) * MB_PER_KIB or self.peak_mb
            self.resident_mb = kib.get("VmRSS:", 0) * MB_PER_KIB

    def last_line(self):
        """Returns the end of the last line that the process wrote."""
        self.output.copy()
        lines = self.log_path.read_bytes()[self.log_start :].splitlines()
        return b"".join(lines[-1:])[-MAX_LINE_BYTES:].decode("latin-1")


class Watch:
    """Kills daemons over their memory; reports ends that nobody caused.

    Starts daemons that ended again. Reports daemons that do not start to serve.
    """

    def __init__(self, soak, memory_log=None):
        self.soak = soak
        self.memory_log = memory_log
        self.ends = []
        self.tasks = []

    def start(self):
        coroutines = [] if self.memory_log is None else [self.log_memory()]
        for daemon in self.soak.deployment.daemons:
            daemon.on_end = self.judge_end
            coroutines += [self.watch_end(daemon), self.watch_start(daemon)]
        self.tasks = [asyncio.create_task(c) for c in coroutines]

    async def close(self):
        for task in self.tasks:
            task.cancel()
        outcomes = await asyncio.gather(*self.tasks, return_exceptions=True)
        self.soak.problems += [
            f"watch failed: {o!r}" for o in outcomes if isinstance(o, Exception)
        ]
        for daemon in self.soak.deployment.daemons:
            self.judge_end(daemon)

    async def watch_end(self, daemon):
        while True:
            daemon.sample_memory()
            if daemon.is_running and daemon.resident_mb > MEMORY_MB:
                self.record_end(daemon, f"memory over {MEMORY_MB} MB")
                self.soak.disturbed_at[daemon.name] = time.monotonic()
                daemon.send_signal(signal.SIGKILL)
                await daemon.process.wait()
            self.judge_end(daemon)
            if not daemon.is_running and daemon not in self.soak.busy_daemons:
                self.soak.busy_daemons.add(daemon)
                await asyncio.sleep(RESTART_DELAY_S)
                await daemon.start()
                self.soak.busy_daemons.discard(daemon)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def judge_end(self, daemon):
        status = daemon.process.returncode
        if daemon.is_judged or status is None:
            return
        daemon.is_judged = True
        # Only these two are explained by a signal of the soak.
        cause = {-signal.SIGKILL: signal.SIGKILL, 0: signal.SIGTERM}.get(status)
        if cause not in daemon.sent_signals:
            name = signal.Signals(-status).name if status < 0 else ""
            how = f"signal {name}" if name else f"exit code {status}"
            self.record_end(daemon, how)

    def record_end(self, daemon, how):
        daemon.is_judged = True
        end = {
            "daemon": daemon.name,
            "how": how,
            "after_s": round(time.monotonic() - daemon.started_at, 2),
            "peak_mb": round(daemon.peak_mb),
            "sent": sorted(s.name for s in daemon.sent_signals),
            "hindrances": sorted(daemon.hindrances),
            "output": daemon.output.state,
            "last_line": daemon.last_line(),
        }
        self.ends.append(end)
        problem = f"{daemon.name} ended and nobody caused it: {how}"
        self.soak.problems.append(problem)

    async def watch_start(self, daemon):
        while True:
            await asyncio.sleep(READY_INTERVAL_S)
            process = daemon.process
            if not daemon.is_running or self.soak.is_start_hindered(daemon):
                daemon.hindered_at = time.monotonic()
            if daemon.is_ready:
                continue
            is_ready = await self.soak.deployment.is_ready(daemon)
            waited_s = time.monotonic() - daemon.hindered_at
            if process is not daemon.process:
                continue
            # A daemon that does not start is reported once.
            daemon.is_ready = is_ready or waited_s > START_TIMEOUT_S
            if daemon.is_ready and not is_ready:
                self.soak.problems.append(
                    f"{daemon.name} does not serve after {waited_s:.1f} s;"
                    f" last line: {daemon.last_line()}"
                )

    async def log_memory(self):
        with pathlib.Path(self.memory_log).open("ab", buffering=0) as log:
            for second in range(1 << 40):
                line = {"seed": self.soak.seed, "second": second}
                for daemon in self.soak.deployment.daemons:
                    line[daemon.name] = round(daemon.resident_mb, 1)
                log.write(orjson.dumps(line) + b"\n")
                await asyncio.sleep(1)
