"""Sends signals to daemon processes while they start and while they end."""

import asyncio
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from citrondoor import signals
from tests.platform import deployment as deployments

MASK = sum(1 << (number - 1) for number in signals.HANDLED)
GRACE_S = 0.4
TIMEOUT_S = 15.0
# From the moment at which the process has blocked the signals.
START_DELAYS_S = [0.0, 0.05, 0.1, 0.2, 0.3, 0.5]


def make_daemon(folder, number):
    ports = deployments.free_ports(6)
    seeds = [f"{deployments.HOST}:{ports[3]}"]
    return deployments.Daemon(
        f"vm-{number}", folder, ports[5], seeds, ports[:5], GRACE_S
    )


async def start_blocked(daemon, command):
    await daemon.start(command)
    async with asyncio.timeout(TIMEOUT_S):
        while not is_safe(daemon.process.pid):
            assert daemon.process.returncode is None, (
                daemon.log_path.read_text()
            )
            await asyncio.sleep(0.001)


def is_safe(process_id):
    return blocks_signals(process_id) or has_signals(process_id, "SigCgt")


def blocks_signals(process_id, task_id=None):
    return has_signals(process_id, "SigBlk", task_id)


def has_signals(process_id, mask_name, task_id=None):
    folder = pathlib.Path(f"/proc/{process_id}/task/{task_id or process_id}")
    for line in (folder / "status").read_text().splitlines():
        if line.startswith(f"{mask_name}:"):
            return int(line.split()[1], 16) & MASK == MASK
    return False


async def end_of(daemon):
    async with asyncio.timeout(TIMEOUT_S):
        code = await daemon.process.wait()
    lines = daemon.log_path.read_text().splitlines()
    return code, daemon.log_records()[-1]["event"] if lines else None


@pytest.mark.parametrize(
    "command",
    [
        ["-m", "citrondoor.platform"],
        [str(deployments.ROOT / "deploy" / "entry.py")],
    ],
)
def test_no_signal_during_the_start_ends_the_process(tmp_path, command):
    # FAULT: a SIGHUP in the first 0.3 s ended it by the signal.
    async def send_at(number, delay_s):
        daemon = make_daemon(tmp_path, number)
        await start_blocked(daemon, command)
        await asyncio.sleep(delay_s)
        daemon.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.01)
        daemon.process.send_signal(signal.SIGTERM)
        return await end_of(daemon)

    async def body():
        ends = []
        for first in range(0, len(START_DELAYS_S), 2):
            pair = START_DELAYS_S[first : first + 2]
            ends += await asyncio.gather(
                *(send_at(first + n, delay) for n, delay in enumerate(pair))
            )
        return ends

    assert asyncio.run(body()) == [(0, "stopped")] * len(START_DELAYS_S)


@pytest.mark.parametrize("repetition", range(2))
def test_no_signal_during_the_shutdown_cuts_it(tmp_path, repetition):
    # FAULT: a signal after the event loop had removed its handlers ended it.
    daemon = make_daemon(tmp_path, 0)
    command = [sys.executable, "-m", "citrondoor.platform"]
    with daemon.log_path.open("ab") as log:
        process = subprocess.Popen(
            [*command, "--settings", daemon.settings_path],
            stdout=log,
            stderr=log,
        )
    while not is_safe(process.pid):
        assert process.poll() is None
        time.sleep(0.001)
    started_at = time.monotonic()
    while process.poll() is None:
        # Sends nothing to a process that has ended.
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            process.send_signal(number)
        time.sleep(0.0005)
    assert process.returncode == 0
    # A warning of a pipe that is full is no JSON.
    assert daemon.log_records()[-1]["event"] == "stopped"
    assert time.monotonic() - started_at > GRACE_S * 0.6


def test_signals_that_no_pipe_holds_leave_no_warning(tmp_path):
    # Guards against a process that waits for itself: the warning takes a lock
    # inside the signal handler.
    program = (
        "import asyncio, os, signal, sys\n"
        "from citrondoor import signals\n"
        "async def body():\n"
        "    loop = asyncio.get_running_loop()\n"
        "    loop.add_signal_handler(signal.SIGHUP, lambda: None)\n"
        "    if sys.argv[1:]: signals.allow_floods()\n"
        "    for _ in range(5000): os.kill(os.getpid(), signal.SIGHUP)\n"
        "asyncio.run(body())\n"
    )
    outputs = [
        subprocess.run(
            [sys.executable, "-c", program, *arguments],
            capture_output=True,
            text=True,
            check=True,
            timeout=TIMEOUT_S,
        ).stderr
        for arguments in ([], ["allow"])
    ]
    assert "signal wakeup fd" in outputs[0]
    assert outputs[1] == ""


def test_only_the_main_thread_takes_signals(tmp_path):
    async def body():
        async with deployments.Deployment(tmp_path, daemons=1) as deployment:
            (daemon,) = deployment.daemons
            await deployment.wait_until(lambda: serves(daemon.metrics))
            main = daemon.process.pid
            tasks = pathlib.Path(f"/proc/{main}/task").iterdir()
            return {
                (int(task.name) == main, blocks_signals(main, task.name))
                for task in tasks
            }

    async def serves(port):
        try:
            return await deployments.send_http_request(port, b"/metrics")
        except OSError:
            return False

    assert asyncio.run(body()) == {(True, False), (False, True)}


@pytest.mark.parametrize(
    "module", ["citrondoor.platform.__main__", "citrondoor.daemon.main"]
)
def test_nothing_slow_is_imported_before_signals_are_blocked(module):
    program = (
        f"import sys; before = set(sys.modules); import {module};"
        "print(*sorted(set(sys.modules) - before))"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True
    )
    parents = [module.rsplit(".", count)[0] for count in range(3)]
    assert result.stdout.split() == sorted([*parents, "citrondoor.signals"])


def test_signals_are_blocked_before_the_package_is_searched_for(tmp_path):
    # FAULT: a slow disk left them open meanwhile.
    package = tmp_path / "citrondoor"
    (package / "platform").mkdir(parents=True)
    (package / "__init__.py").write_text(
        "import _signal\n"
        "print(sum(map(int, _signal.pthread_sigmask(_signal.SIG_BLOCK, ()))))\n"
    )
    (package / "platform" / "__main__.py").write_text("def main(): pass\n")
    result = subprocess.run(
        [sys.executable, "-S", "-P", deployments.ROOT / "deploy" / "entry.py"],
        env={"PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
    )
    assert (result.stdout, result.stderr) == (f"{sum(signals.HANDLED)}\n", "")


def test_importing_the_package_leaves_the_signal_mask():
    program = (
        "import signal; before = signal.pthread_sigmask(signal.SIG_BLOCK, ());"
        "import citrondoor.platform.__main__, citrondoor.platform._command;"
        "import citrondoor.daemon.main, citrondoor.daemon.command;"
        "assert before == signal.pthread_sigmask(signal.SIG_BLOCK, ())"
    )
    subprocess.run([sys.executable, "-c", program], check=True)
