"""Reads a settings file that may be incomplete while the daemon starts."""

import time
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import errors

# How long a missing or invalid file is read again: whoever starts the daemon
# may still be writing it.
WAIT_MS = 2000
POLL_MS = 50


def read_when_complete(
    read: Callable[[], object],
    is_end_requested: Callable[[], bool],
    clock: clocks.Clock,
    sleep: Callable[[float], None] = time.sleep,
):
    """Reads the settings, again and again while they are missing or invalid.

    Args:
      read: Returns the checked settings.
      is_end_requested: Whether the daemon is asked to end.
      clock: Clock of the daemon.
      sleep: Waits for a time in seconds.

    Raises:
      errors.DocumentError: The settings are still invalid after `WAIT_MS`, or
        when the daemon is asked to end.
    """
    ends_at = clock.now() + WAIT_MS
    while True:
        try:
            return read()
        except errors.DocumentError:
            if is_end_requested() or clock.now() >= ends_at:
                raise
        sleep(POLL_MS / clocks.MS_PER_S)
