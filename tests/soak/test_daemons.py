import asyncio
import signal
import sys
import time
import types

import pytest

from tests.platform import deployment as deployments
from tests.soak import daemon_faults
from tests.soak import daemons
from tests.soak import entry


def run_with_daemon(tmp_path, code, body):
    async def run():
        daemon = daemons.Daemon(
            512, "vm-0", tmp_path, 6, [], deployments.free_ports(5), 1.0
        )
        daemon.command = (sys.executable, "-c", code)
        soak = types.SimpleNamespace(
            problems=[], busy_daemons=set(), disturbed_at={}
        )
        watch = daemons.Watch(soak)
        daemon.on_end = watch.judge_end
        await daemon.start()
        try:
            async with asyncio.timeout(10):
                await body(daemon, watch)
        finally:
            daemon.send_signal(signal.SIGKILL)
            await daemon.process.wait()
            daemon.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("sent", "code", "how"),
    [
        ("SIGKILL", "", None),
        ("SIGTERM", "exit(0)", None),
        ("SIGTERM", "", "signal SIGTERM"),
        ("SIGHUP", "", "signal SIGHUP"),
        ("SIGHUP", "exit(0)", "exit code 0"),
        ("SIGTERM", "exit(1)", "exit code 1"),
        (None, "exit(1)", "exit code 1"),
    ],
)
def test_only_signals_of_the_soak_explain_an_end(tmp_path, sent, code, how):
    async def body(daemon, watch):
        if sent is not None and not code:
            daemon.send_signal(signal.Signals[sent])
        elif sent is not None:
            daemon.sent_signals.add(signal.Signals[sent])
        await daemon.process.wait()
        await daemon.start()
        assert [end["how"] for end in watch.ends] == ([how] if how else [])

    run_with_daemon(tmp_path, code or "import time; time.sleep(60)", body)


def test_daemon_over_its_memory_is_killed_and_reported(tmp_path):
    async def body(daemon, watch):
        task = asyncio.create_task(watch.watch_end(daemon))
        while not watch.ends:
            await asyncio.sleep(0.02)
        task.cancel()
        assert watch.ends[0]["how"] == "memory over 300 MB"
        assert watch.ends[0]["last_line"] == "(512, 512)"
        assert watch.soak.problems

    code = (
        "import resource, time;"
        "print(resource.getrlimit(resource.RLIMIT_NOFILE), flush=True);"
        "kept = b'a' * 400_000_000; time.sleep(60)"
    )
    run_with_daemon(tmp_path, code, body)


class PausedDaemon:
    name = "vm-0"

    def __init__(self):
        self.hindrances = set()

    def send_signal(self, number):
        pass


def test_a_request_that_ends_while_its_daemon_is_paused_is_not_judged(tmp_path):
    async def body():
        soak = entry.Soak(1, 0, tmp_path)
        daemon = PausedDaemon()
        soak.deployment.daemons = [daemon]
        soak.run_counts[b"c1"] = 1
        sent_at = time.monotonic()

        async def time_out(max_s=2.0):
            soak.check_unanswered(daemon, b"c1", sent_at, TimeoutError())

        soak.sleep_random = time_out
        await daemon_faults.DaemonFaults(soak).pause_daemon()
        assert soak.problems == []
        # After the pause it is judged again.
        sent_at = time.monotonic()
        await time_out()
        assert len(soak.problems) == 1

    asyncio.run(body())
