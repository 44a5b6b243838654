import contextlib
import pathlib
import signal
import socket
import subprocess
import sys
import time

import orjson
import pytest

from tests.daemon import test_settings
from tests.platform import deployment
from tests.platform import test_signals

TIMEOUT_S = 15.0


def write_settings(folder):
    http_port, peer_port = deployment.free_ports(2)
    path = folder / "s.yaml"
    path.write_text(
        test_settings.VALID_SETTINGS.replace("8000", str(http_port)).replace(
            "8001", str(peer_port)
        )
        + "callers: {entries_ttl_ms: 100, max_deadline_ms: 10}\n"
    )
    return path


def run_until_stopped(program, path, delay_s=0.0):
    """Returns the code and the log of a daemon that gets SIGTERM."""
    with subprocess.Popen(
        [sys.executable, "-c", program, "--settings", path],
        stderr=subprocess.PIPE,
    ) as process:
        while process.poll() is None and not test_signals.is_safe(process.pid):
            time.sleep(0.001)
        time.sleep(delay_s)
        process.send_signal(signal.SIGTERM)
        try:
            _, log = process.communicate(timeout=6.0)
        finally:
            process.kill()
    return process.returncode, [orjson.loads(n) for n in log.splitlines()]


@pytest.mark.parametrize(
    "step",
    [
        "engine.RunEngine.drain",
        "engine.CountReplicator.push_to_peers",
        "front.ApiServer.close",
        "engine.Peering.close",
    ],
)
def test_a_step_that_never_ends_does_not_hold_up_the_shutdown(tmp_path, step):
    # It waited for ever, until the platform killed it.
    program = f"""
import asyncio
from citrondoor import engine
from citrondoor import front
from citrondoor.daemon import _assembly
from citrondoor.daemon import main

async def never_end(self):
    await asyncio.Event().wait()

{step} = never_end
_assembly.STEP_LIMIT_MS = 300
main.main()
"""
    code, records = run_until_stopped(program, write_settings(tmp_path))
    assert code == 0
    *_, cut, last = [
        record
        for record in records
        if record["event"] in ("shutdown_step_cut", "ended")
    ]
    assert cut["event"] == "shutdown_step_cut"
    assert (last["event"], last["reason"]) == ("ended", "signal")


def test_a_daemon_whose_clock_was_set_back_takes_over_from_its_predecessor(
    tmp_path,
):
    # FAULT: it ended again and again until its clock was past the other's.
    program = """
from citrondoor import membership
from citrondoor.daemon import main
from citrondoor.schema import messages

class Members(membership.Members):
    def __init__(self, vm, incarnation, *rest):
        super().__init__(vm, incarnation, *rest)
        state = messages.MemberState.ALIVE
        self._merge_own_record(
            messages.Member(vm, incarnation + 60_000, 0, state, 0)
        )

membership.Members = Members
main.main()
"""
    code, records = run_until_stopped(program, write_settings(tmp_path), 2.0)
    events = [record["event"] for record in records]
    assert (code, records[-1]["reason"]) == (0, "signal")
    assert events.count("incarnation_raised") == 1


def test_callers_without_end_leave_descriptors_for_others(tmp_path):
    # FAULT: callers could take each descriptor that others need.
    path = write_settings(tmp_path)
    port = int(path.read_text().partition("http_port: ")[2].split()[0])
    command = [sys.executable, "-m", "citrondoor.daemon.main"]
    with contextlib.ExitStack() as stack:
        process = subprocess.Popen(
            ["sh", "-c", 'ulimit -n 128; exec "$@"', "sh", *command]
            + ["--settings", path],
            stderr=subprocess.DEVNULL,
        )
        stack.callback(process.wait)
        stack.callback(process.kill)
        descriptors = pathlib.Path(f"/proc/{process.pid}/fd")
        callers = []
        ends_at = time.monotonic() + TIMEOUT_S
        while len(callers) < 200 and time.monotonic() < ends_at:
            try:
                caller = socket.create_connection((deployment.HOST, port))
            except ConnectionRefusedError:
                time.sleep(0.01)
                continue
            callers.append(stack.enter_context(caller))
            time.sleep(0.001)
        time.sleep(0.3)
        assert len(callers) == 200
        assert len(list(descriptors.iterdir())) < 110


@pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.6])
def test_no_signal_during_the_start_ends_citrondoord(tmp_path, delay_s):
    path = write_settings(tmp_path)
    process = subprocess.Popen(
        [sys.executable, "-m", "citrondoor.daemon.main", "--settings", path],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    ends_at = time.monotonic() + TIMEOUT_S
    while not test_signals.is_safe(process.pid):
        assert time.monotonic() < ends_at
        time.sleep(0.001)
    time.sleep(delay_s)
    process.send_signal(signal.SIGHUP)
    while process.poll() is None:
        assert time.monotonic() < ends_at
        process.send_signal(signal.SIGTERM)
        time.sleep(0.001)
    assert process.returncode == 0
