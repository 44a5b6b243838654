import contextlib
import os
import sys
import threading
import tracemalloc

import orjson
import pytest

from citrondoor import clock as clocks
from citrondoor.entry import _decision_log


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    with contextlib.suppress(BlockingIOError):
        return [orjson.loads(n) for n in os.read(descriptor, 65536).split()]
    return []


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        with contextlib.suppress(OSError):
            os.close(descriptor)


def make_log(descriptor=None):
    log = _decision_log.DecisionLog("vm-1", clocks.ManualClock(), descriptor)
    log.start()
    return log


def test_closing_writes_the_lines_that_are_queued(pipe):
    log = make_log(pipe[1])
    log.write("started")
    log.write("ended", reason="signal")
    log.close(timeout_s=5.0)
    lines = read_lines(pipe[0])
    assert [line["event"] for line in lines] == ["started", "ended"]
    assert lines[1] == {
        "at": 0,
        "vm": "vm-1",
        "event": "ended",
        "reason": "signal",
    }


def test_closing_writes_lines_for_which_the_thread_gets_no_time(
    pipe, monkeypatch
):
    # A process ended with code 0 and without any line of its log.
    is_asleep = threading.Event()
    wakes = threading.Event()

    def sleep(seconds):
        is_asleep.set()
        wakes.wait(5.0)

    monkeypatch.setattr(_decision_log.time, "sleep", sleep)
    log = make_log(pipe[1])
    log.write("started")
    assert is_asleep.wait(5.0)
    log.write("stopped")
    log.close()
    lines = read_lines(pipe[0])
    wakes.set()
    log.close(timeout_s=5.0)
    assert [line["event"] for line in lines] == ["started", "stopped"]
    assert read_lines(pipe[0]) == []


def test_closing_writes_the_lines_of_a_log_without_a_thread(pipe):
    # If no thread could be started, the end left no line.
    log = _decision_log.DecisionLog("vm-1", clocks.Clock(), pipe[1])
    log.write("ended")
    log.close()
    assert [line["event"] for line in read_lines(pipe[0])] == ["ended"]


def test_the_thread_survives_that_standard_output_is_closed(monkeypatch):
    # The thread ended with an AttributeError, and no line was counted.
    monkeypatch.setattr(sys, "stdout", None)
    log = make_log()
    log.write("started")
    log.close(timeout_s=5.0)
    assert log.dropped_count == 1


def test_the_thread_survives_that_the_reader_is_gone(pipe):
    os.close(pipe[0])
    log = make_log(pipe[1])
    log.write("started")
    log.close(timeout_s=5.0)
    assert log.dropped_count == 1


def test_a_log_without_a_thread_ends_nothing_and_writes_once_it_has_one(
    pipe, monkeypatch
):
    def fail(thread):
        raise RuntimeError("can't start new thread")

    with monkeypatch.context() as patch:
        patch.setattr(threading.Thread, "start", fail)
        log = make_log(pipe[1])
        log.write("started")
    log.write("summary")
    log.close(timeout_s=5.0)
    lines = read_lines(pipe[0])
    assert [line["event"] for line in lines] == ["started", "summary"]


def test_the_log_goes_on_after_its_thread_has_died(pipe, monkeypatch):
    def fail(descriptor, data):
        raise MemoryError

    monkeypatch.setattr(threading, "excepthook", lambda arguments: None)
    log = make_log(pipe[1])
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", fail)
        log.write("started")
        log._thread.join(5.0)
    log.write("summary")
    log.close(timeout_s=5.0)
    assert [line["event"] for line in read_lines(pipe[0])] == ["summary"]


def test_a_full_pipe_holds_up_neither_writers_nor_the_end(pipe):
    fill(pipe[1])
    os.set_blocking(pipe[1], True)
    log = make_log(pipe[1])
    for _ in range(2 * _decision_log.MAX_QUEUED_LINES):
        log.write("summary")
    log.close(timeout_s=0.1)
    assert log.dropped_count > 0
    # Else the thread would write to the next test's file of the same number.
    os.close(pipe[0])
    log.close(timeout_s=5.0)
    assert not log._thread.is_alive()


def test_long_lines_that_nobody_reads_keep_bounded_memory(pipe):
    log = make_log(pipe[1])
    tracemalloc.start()
    for _ in range(_decision_log.MAX_QUEUED_LINES):
        log.write("request_refused", detail="x" * 16_000)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept_bytes < 8_000_000
    assert log.dropped_count > 0


def test_lines_are_not_dropped_for_the_bytes_written_before(pipe):
    log = make_log(pipe[1])
    for _ in range(10):
        log.write("summary", detail="x" * 500_000)
        while not os.read(pipe[0], 65536).endswith(b"\n"):
            pass
    assert log.dropped_count == 0


def test_a_line_that_was_cut_off_is_ended_before_the_next(pipe):
    fill(pipe[1])
    os.read(pipe[0], 4096)
    log = make_log(pipe[1])
    log.write("long", text="x" * 8192)
    while log.dropped_count == 0:
        os.sched_yield()
    while read_all(pipe[0]):
        pass
    log.write("next")
    log.close(timeout_s=5.0)
    assert os.read(pipe[0], 1) == b"\n"
    assert read_lines(pipe[0])[0]["event"] == "next"


def fill(descriptor):
    os.set_blocking(descriptor, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(descriptor, b"x" * 4096)


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    with contextlib.suppress(BlockingIOError):
        return os.read(descriptor, 65536)
    return b""


@pytest.mark.parametrize("value", [2**70, "\ud800", {1: 2}])
def test_a_value_that_orjson_cannot_encode_is_written(pipe, value):
    log = make_log(pipe[1])
    log.write("part_failed", error=value)
    log.close(timeout_s=5.0)
    assert os.read(pipe[0], 65536).endswith(b"}\n")
    assert log.dropped_count == 0
