"""Writes to standard error without waiting for its reader."""

import os
import select

from citrondoor import clock as clocks

DESCRIPTOR = 2
TIMEOUT_MS = 200


def write_line(text: str) -> None:
    """Writes a line; drops what standard error does not take in time.

    Args:
      text: The line, without its end.
    """
    clock = clocks.Clock()
    ends_at = clock.now() + TIMEOUT_MS
    rest = text.encode(errors="replace") + b"\n"
    poll = select.poll()
    poll.register(DESCRIPTOR, select.POLLOUT)
    try:
        # A pipe that is writable takes `PIPE_BUF` bytes without blocking.
        while rest and poll.poll(max(0, ends_at - clock.now())):
            rest = rest[os.write(DESCRIPTOR, rest[: select.PIPE_BUF]) :]
    except OSError:
        # Standard error is closed; the last line of the log has the text too.
        pass
