"""Log lines of decisions: bounded in number, and they never block.

Each request that fails, is repeated or leaves without a part gets one line;
others are counted. Lines beyond the bound are dropped and counted.
"""

import collections
import sys
import threading
import time

import orjson

from citrondoor import clock as clocks

# Lines a second, over all kinds, before lines are dropped.
MAX_LINES_PER_S = 200
# Lines that wait for a reader of standard output.
MAX_QUEUE = 4096
# Lines of this time are written together, in seconds: a wake-up costs more
# than a line.
BATCH_S = 0.05


class DecisionLog:
    """Writes JSON lines from a thread of its own.

    Args:
      vm: Name of this VM.
      clock: Clock of the daemon.
      stream: Where lines go.
    """

    __slots__ = (
        "_clock",
        "_is_closing",
        "_left",
        "_queue",
        "_ready",
        "_second",
        "_stream",
        "_thread",
        "_vm",
        "dropped_count",
    )

    def __init__(self, vm: str, clock: clocks.Clock, stream=sys.stdout):
        self._vm = vm
        self._clock = clock
        self._stream = stream
        self._queue: collections.deque[bytes] = collections.deque()
        self._ready = threading.Event()
        self._thread: threading.Thread | None = None
        self._is_closing = False
        self._second = 0
        self._left = MAX_LINES_PER_S
        self.dropped_count = 0

    def start(self) -> None:
        """Starts the writing thread."""
        self._thread = threading.Thread(target=self._write_lines, daemon=True)
        self._thread.start()

    def close(self, timeout_s: float = 0.2) -> None:
        """Writes what waits, for a short time."""
        self._is_closing = True
        self._ready.set()
        if self._thread is not None:
            self._thread.join(timeout_s)

    def write(self, event: str, **fields) -> None:
        """Adds a line about a change of state; it is never left out for rate.

        Args:
          event: Kind of the line.
          **fields: What decided, with ages or versions, and the outcome.
        """
        if len(self._queue) >= MAX_QUEUE:
            self.dropped_count += 1
            return
        line = {"at": self._clock.wall(), "vm": self._vm, "event": event}
        self._queue.append(orjson.dumps(line | fields, default=str) + b"\n")
        self._ready.set()

    def write_rate_limited(self, event: str, **fields) -> None:
        """Adds a line about a request, within the bound of lines a second."""
        second = self._clock.now() // clocks.MS_PER_S
        if second != self._second:
            self._second = second
            self._left = MAX_LINES_PER_S
        if self._left <= 0:
            self.dropped_count += 1
            return
        self._left -= 1
        self.write(event, **fields)

    def _write_lines(self) -> None:
        while True:
            self._ready.wait()
            if not self._is_closing:
                time.sleep(BATCH_S)
            self._ready.clear()
            lines = []
            while self._queue:
                lines.append(self._queue.popleft())
            try:
                self._stream.buffer.write(b"".join(lines))
                self._stream.buffer.flush()
            except (OSError, ValueError):
                # Nobody reads the log any more; the daemon goes on serving.
                self.dropped_count += len(lines)
            if self._is_closing and not self._queue:
                return
