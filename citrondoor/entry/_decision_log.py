"""Writes the daemon's decisions as JSON log lines without blocking.

A request is logged if one of its sends ends without an answer, cancelled or
not, if it fails or is refused, or if its answer lacks shards; other requests
are only counted. Lines beyond a rate limit or a queue limit are dropped and
counted.
"""

import collections
import sys
import threading
import time

import orjson

from citrondoor import clock as clocks

# Limit for lines about requests, over all events together.
MAX_LINES_PER_S = 200
# Lines queued while the reader of standard output is slow.
MAX_QUEUED_LINES = 4096
# The thread waits this long before it writes, so that one write covers several
# lines: waking the thread costs more than writing a line.
BATCH_DELAY_S = 0.05


class DecisionLog:
    """Queues log lines and writes them to a stream from its own thread.

    Args:
      vm: Name of this VM, written in each line.
      clock: Clock of the daemon.
      stream: Text stream with a binary `buffer`, to which lines are written.
    """

    __slots__ = (
        "_clock",
        "_is_closing",
        "_limited_second",
        "_queue",
        "_remaining_lines",
        "_stream",
        "_thread",
        "_vm",
        "_wakeup",
        "dropped_count",
    )

    def __init__(self, vm: str, clock: clocks.Clock, stream=sys.stdout):
        self._vm = vm
        self._clock = clock
        self._stream = stream
        self._queue: collections.deque[bytes] = collections.deque()
        self._wakeup = threading.Event()
        self._thread: threading.Thread | None = None
        self._is_closing = False
        # Second to which the rate limit applies, and lines still allowed in it.
        self._limited_second = 0
        self._remaining_lines = MAX_LINES_PER_S
        self.dropped_count = 0

    def start(self) -> None:
        """Starts the thread that writes the lines."""
        self._thread = threading.Thread(target=self._write_lines, daemon=True)
        self._thread.start()

    def close(self, timeout_s: float = 0.2) -> None:
        """Writes the queued lines, waiting at most `timeout_s` for that."""
        self._is_closing = True
        self._wakeup.set()
        if self._thread is not None:
            self._thread.join(timeout_s)

    def write(self, event: str, **fields) -> None:
        """Queues a line about a change of state, without a rate limit.

        The line is dropped only if the queue is full.

        Args:
          event: Name of the event.
          **fields: Inputs of the decision, with their ages or versions, and its
            outcome.
        """
        if len(self._queue) >= MAX_QUEUED_LINES:
            self.dropped_count += 1
            return
        line = {"at": self._clock.unix_ms(), "vm": self._vm, "event": event}
        self._queue.append(orjson.dumps(line | fields, default=str) + b"\n")
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
        while True:
            self._wakeup.wait()
            if not self._is_closing:
                time.sleep(BATCH_DELAY_S)
            self._wakeup.clear()
            lines = []
            while self._queue:
                lines.append(self._queue.popleft())
            try:
                self._stream.buffer.write(b"".join(lines))
                self._stream.buffer.flush()
            except (OSError, ValueError):
                # The log's reader is gone; the daemon keeps serving without it.
                self.dropped_count += len(lines)
            if self._is_closing and not self._queue:
                return
