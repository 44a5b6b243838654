"""Writes the daemon's decisions as JSON log lines without blocking.

A request is logged if one of its sends ends without an answer, cancelled or
not, if it fails or is refused, or if its answer lacks shards; other requests
are only counted. Lines beyond a rate limit or a queue limit are dropped and
counted.
"""

import collections
import json
import os
import select
import sys
import threading
import time

import orjson

from citrondoor import clock as clocks
from citrondoor import signals

# Limit for lines about requests, over all events together.
MAX_LINES_PER_S = 200
# Lines queued while the reader of standard output is slow.
MAX_QUEUED_LINES = 4096
# Bytes of these lines, those that are being written included: a line may name a
# path as long as a head may be.
MAX_QUEUED_BYTES = 2_097_152
# The thread waits this long before it writes, so that one write covers several
# lines: waking the thread costs more than writing a line.
BATCH_DELAY_S = 0.05


def _standard_output() -> int | None:
    """Returns the descriptor of standard output; None if it is closed."""
    try:
        return None if sys.stdout is None else sys.stdout.fileno()
    except (OSError, ValueError):
        return None


class DecisionLog:
    """Queues log lines and writes them to a file from its own thread.

    It writes to the descriptor and not through `sys.stdout`, whose buffer the
    interpreter flushes at its end: that fails if a write is unfinished then, or
    has failed before.

    Args:
      vm: Name of this VM, written in each line.
      clock: Clock of the daemon.
      descriptor: File descriptor to which lines are written; None means
        standard output. Lines are dropped if that is closed.
    """

    __slots__ = (
        "_clock",
        "_descriptor",
        "_is_closing",
        "_is_line_cut",
        "_is_started",
        "_limited_second",
        "_queue",
        "_queued_bytes",
        "_remaining_lines",
        "_thread",
        "_vm",
        "_wakeup",
        "_writing",
        "_written_bytes",
        "dropped_count",
    )

    def __init__(
        self, vm: str, clock: clocks.Clock, descriptor: int | None = None
    ):
        self._vm = vm
        self._clock = clock
        self._descriptor = (
            _standard_output() if descriptor is None else descriptor
        )
        self._queue: collections.deque[bytes] = collections.deque()
        # Since the start; the second is changed while `_writing` is held.
        self._queued_bytes = 0
        self._written_bytes = 0
        self._wakeup = threading.Event()
        # Held by the thread that takes lines from the queue and writes them.
        self._writing = threading.Lock()
        self._thread: threading.Thread | None = None
        self._is_started = False
        self._is_closing = False
        self._is_line_cut = False
        # Second to which the rate limit applies, and lines still allowed in it.
        self._limited_second = 0
        self._remaining_lines = MAX_LINES_PER_S
        self.dropped_count = 0

    @property
    def _is_writing(self) -> bool:
        return self._thread is not None and self._thread.is_alive()

    def start(self) -> None:
        """Starts the thread that writes the lines.

        If none can be started now, or the thread ends, each further line tries
        again.
        """
        self._is_started = True
        self._start_thread()

    def _start_thread(self) -> None:
        thread = threading.Thread(target=self._write_lines, daemon=True)
        try:
            thread.start()
        except RuntimeError:
            # The limit of threads or of memory is reached.
            return
        self._thread = thread

    def close(self, timeout_s: float = 0.2) -> None:
        """Writes the queued lines, waiting at most `timeout_s` for that.

        It writes them itself, because on a busy machine the log's thread may
        not run in that time.
        """
        ends_at = self._clock.now() + int(timeout_s * clocks.MS_PER_S)
        self._is_closing = True
        self._wakeup.set()
        if self._writing.acquire(timeout=timeout_s):
            try:
                self._write_queued(ends_at)
            finally:
                self._writing.release()
        if self._thread is not None:
            self._thread.join(self._remaining_ms(ends_at) / clocks.MS_PER_S)

    def write(self, event: str, **fields) -> None:
        """Queues a line about a change of state, without a rate limit.

        The line is dropped only if too many lines or bytes are queued.

        Args:
          event: Name of the event.
          **fields: Inputs of the decision, with their ages or versions, and its
            outcome.
        """
        if len(self._queue) >= MAX_QUEUED_LINES:
            self.dropped_count += 1
            return
        line = {"at": self._clock.unix_ms(), "vm": self._vm, "event": event}
        data = _encode(line | fields) + b"\n"
        kept_bytes = self._queued_bytes - self._written_bytes
        if kept_bytes + len(data) > MAX_QUEUED_BYTES:
            self.dropped_count += 1
            return
        self._queued_bytes += len(data)
        self._queue.append(data)
        if self._is_started and not self._is_closing and not self._is_writing:
            self._start_thread()
        self._wakeup.set()

    def write_rate_limited(self, event: str, **fields) -> None:
        """Queues a line about a request, subject to the rate limit."""
        second = self._clock.now() // clocks.MS_PER_S
        if second != self._limited_second:
            self._limited_second = second
            self._remaining_lines = MAX_LINES_PER_S
        if self._remaining_lines <= 0:
            self.dropped_count += 1
            return
        self._remaining_lines -= 1
        self.write(event, **fields)

    def _write_lines(self) -> None:
        # One that starts late would inherit that signals are not blocked.
        signals.block()
        while True:
            self._wakeup.wait()
            if not self._is_closing:
                time.sleep(BATCH_DELAY_S)
            self._wakeup.clear()
            with self._writing:
                self._write_queued(None)
            if self._is_closing and not self._queue:
                return

    def _write_queued(self, ends_at: int | None) -> None:
        lines = []
        while self._queue:
            lines.append(self._queue.popleft())
        data = b"".join(lines)
        try:
            if not self._write_out(data, ends_at):
                self.dropped_count += len(lines)
        finally:
            self._written_bytes += len(data)

    def _write_out(self, data: bytes, ends_at: int | None) -> bool:
        """Writes lines; returns whether all of them were written.

        Args:
          data: The lines.
          ends_at: Time in ms after which it gives up; None to wait for ever.
        """
        if self._descriptor is None:
            return False
        rest = b"\n" + data if self._is_line_cut else data
        try:
            while rest:
                if ends_at is not None and not self._can_write(ends_at):
                    return False
                size = len(rest) if ends_at is None else select.PIPE_BUF
                rest = rest[os.write(self._descriptor, rest[:size]) :]
                self._is_line_cut = rest != b""
        except OSError:
            # The log's reader is gone; the daemon keeps serving without it.
            return False
        return True

    def _can_write(self, ends_at: int) -> bool:
        """Returns whether `PIPE_BUF` bytes can be written without blocking."""
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return bool(poll.poll(self._remaining_ms(ends_at)))

    def _remaining_ms(self, ends_at: int) -> int:
        return max(0, ends_at - self._clock.now())


def _encode(line: dict) -> bytes:
    try:
        return orjson.dumps(line, default=str)
    except TypeError:
        # An integer over 64 bits, or text that is not valid Unicode.
        return json.dumps(line, default=str, skipkeys=True).encode()
