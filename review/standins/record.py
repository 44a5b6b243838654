"""Writes what a case sent, received and ran to `record.txt`."""

import pathlib
import time


class Record:
    """Appends lines with the time since the start to a file.

    Args:
      path: The file, which is replaced.
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, event: str, **fields) -> None:
        """Writes one line.

        Args:
          event: What happened.
          **fields: Its details.
        """
        elapsed_s = time.monotonic() - self._started_at
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{elapsed_s:8.3f} {event} {details}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
