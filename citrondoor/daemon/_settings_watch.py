"""Notices that the settings file has changed, with or without a signal."""

import pathlib
from collections.abc import Callable

from citrondoor import errors
from citrondoor.schema import serving

# Settings that a running daemon takes; the others need a new start.
RELOADED = ("bounds", "seeds")


class SettingsWatch:
    """Reads the settings again when their file changes.

    Args:
      path: The settings file.
      settings: Settings in force.
      read: Returns the checked settings of a file.
      on_changed: Called with the settings when some that are taken changed.
      log: Called with an event and its fields.
    """

    __slots__ = (
        "_log",
        "_mark",
        "_on_changed",
        "_path",
        "_read",
        "_settings",
    )

    def __init__(
        self,
        path: pathlib.Path,
        settings: serving.EntrySettings,
        read: Callable[[pathlib.Path], serving.EntrySettings],
        on_changed: Callable[[serving.EntrySettings], None],
        log: Callable[..., None],
    ):
        self._path = path
        self._settings = settings
        self._read = read
        self._on_changed = on_changed
        self._log = log
        self._mark = self._stat()

    def check(self, is_signalled: bool = False) -> None:
        """Reads the file if it has changed, or if a signal says so."""
        mark = self._stat()
        if mark == self._mark and not is_signalled:
            return
        self._mark = mark
        try:
            settings = self._read(self._path)
        except errors.DocumentError as error:
            # What is in force stays; the next change is read again.
            self._log("reload_refused", reason=str(error))
            return
        old, self._settings = self._settings, settings
        names = [field[2] for field in settings.thrift_spec if field]
        changed = [n for n in names if getattr(old, n) != getattr(settings, n)]
        taken = [name for name in changed if name in RELOADED]
        later = [name for name in changed if name not in RELOADED]
        self._log("reload", taken=taken, after_restart=later)
        if taken:
            self._on_changed(settings)

    def _stat(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError:
            # The file is being replaced: the next check sees the new one.
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
