"""Runs daemon processes that end for different reasons."""

import asyncio
import signal

import pytest

from tests.platform import test_signals

PROGRAM = """
import sys
from citrondoor import errors
from citrondoor.daemon import entry_daemon
from citrondoor.daemon import _entry_metrics
from citrondoor.daemon import _settings_watch
from citrondoor.entry import _decision_log
from citrondoor.entry import _peer_network
from citrondoor.platform import __main__

entry_daemon.SETTINGS_CHECK_INTERVAL_S = 0.01
entry_daemon.SUMMARY_INTERVAL_S = 0.01


def fail(*args, **kwargs):
    raise error("unexpected")


error = KeyError
{failures}
__main__.main()
"""
DAEMON = "entry_daemon.EntryDaemon"


async def start(folder, failures):
    daemon = test_signals.make_daemon(folder, 0)
    await daemon.start(["-c", PROGRAM.format(failures="\n".join(failures))])
    return daemon


async def end_of(daemon):
    async with asyncio.timeout(test_signals.TIMEOUT_S):
        code = await daemon.process.wait()
    return code, daemon.log_records()[-1]


@pytest.mark.parametrize(
    ("failures", "code", "expected"),
    [
        (
            [f"{DAEMON}._join = fail"],
            4,
            {"event": "ended", "reason": "error", "part": "joining"},
        ),
        (
            [f"{DAEMON}._build_view = fail"],
            4,
            {"event": "ended", "reason": "error", "part": "process"},
        ),
        (
            ["_decision_log.DecisionLog.start = fail"],
            4,
            {"event": "ended", "reason": "error", "part": "process"},
        ),
        (
            ["_peer_network.PeerNetwork.tick = fail"]
            + ["error = errors.InvariantError"],
            3,
            {"event": "stopped", "reason": "invariant", "part": "tick"},
        ),
    ],
)
def test_an_end_by_an_error_has_a_code_and_a_last_line(
    tmp_path, failures, code, expected
):
    # An error during the start left a traceback and no line in the log.
    async def body():
        return await end_of(await start(tmp_path, failures))

    actual_code, record = asyncio.run(body())
    assert actual_code == code
    assert expected.items() <= record.items()
    assert "unexpected" in record["error"]


def test_a_stopped_daemon_whose_log_thread_gets_no_time_has_a_last_line(
    tmp_path,
):
    # It ended with code 0 and without any line.
    async def body():
        failure = "_decision_log.BATCH_DELAY_S = 60.0"
        daemon = await start(tmp_path, [failure])
        while not test_signals.is_safe(daemon.process.pid):
            await asyncio.sleep(0.001)
        daemon.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(test_signals.TIMEOUT_S):
            code = await daemon.process.wait()
        return code, [record["event"] for record in daemon.log_records()]

    code, events = asyncio.run(body())
    assert code == 0
    assert events[0] == "started"
    assert events[-1] == "stopped"


def test_an_error_during_the_shutdown_has_a_code_and_a_last_line(tmp_path):
    async def body():
        failure = "_peer_network.PeerNetwork.close = fail"
        daemon = await start(tmp_path, [failure])
        while not test_signals.is_safe(daemon.process.pid):
            await asyncio.sleep(0.001)
        daemon.process.send_signal(signal.SIGTERM)
        return await end_of(daemon)

    code, record = asyncio.run(body())
    assert code == 4
    assert record["event"] == "ended"
    assert record["part"] == "leaving"


def test_links_that_never_close_do_not_hold_up_the_shutdown(tmp_path):
    async def body():
        failures = [
            "async def never_end(self): await __import__('asyncio').sleep(60)",
            "_peer_network.PeerNetwork.close = never_end",
        ]
        daemon = await start(tmp_path, failures)
        while not test_signals.is_safe(daemon.process.pid):
            await asyncio.sleep(0.001)
        daemon.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(4.0):
                code = await daemon.process.wait()
        finally:
            if daemon.process.returncode is None:
                daemon.process.kill()
        return code, daemon.log_records()

    code, records = asyncio.run(body())
    assert code == 0
    assert "shutdown_step_cut" in [record["event"] for record in records]
    assert records[-1]["event"] == "stopped"


def test_parts_that_always_fail_do_not_end_the_daemon(tmp_path):
    # FAULT: 20 failures of a part, within 2.5 s, ended the daemon with code 0.
    failures = [
        "_peer_network.PeerNetwork.tick = fail",
        "_settings_watch.SettingsWatch.check = fail",
        "_entry_metrics.EntryMetrics.summary = fail",
    ]

    async def body():
        daemon = await start(tmp_path, failures)
        await asyncio.sleep(4.0)
        daemon.process.send_signal(signal.SIGTERM)
        code, last = await end_of(daemon)
        failed = [
            record["part"]
            for record in daemon.log_records()
            if record["event"] == "part_failed"
        ]
        return code, last["signal"], {p: failed.count(p) for p in set(failed)}

    code, name, counts = asyncio.run(body())
    assert (code, name) == (0, "SIGTERM")
    assert set(counts) == {"tick", "settings_watch", "summary"}
    # After pauses of 0.1, 0.2, 0.4, 0.8 and 1.6 s.
    assert max(counts.values()) <= 6
