"""Reloads the settings file when it has changed or on a signal."""

import pathlib
from collections.abc import Callable

from citrondoor import errors
from citrondoor.schema import serving

# Settings whose changes a running daemon applies. The others need a restart,
# and so does `entries_ttl_s` of `bounds`.
RELOADABLE_SETTINGS = ("bounds", "seeds")


class SettingsWatch:
    """Reloads the settings file when its modification time or size changes.

    Args:
      path: The settings file.
      settings: Active settings.
      read: Returns the checked settings of a file.
      on_changed: Called with the new settings if one of `RELOADABLE_SETTINGS`
        has changed.
      log: Called with the name and the fields of a log event.
    """

    __slots__ = (
        "_file_state",
        "_log",
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
        self._file_state = self._read_file_state()

    def check(self, is_signalled: bool = False) -> None:
        """Reloads the file if it has changed, or always if `is_signalled`.

        If the file is missing or invalid, the active settings stay.
        """
        file_state = self._read_file_state()
        if file_state == self._file_state and not is_signalled:
            return
        self._file_state = file_state
        try:
            settings = self._read(self._path)
        except errors.DocumentError as error:
            # The file is read again when it changes next.
            self._log("reload_refused", reason=str(error))
            return
        old, self._settings = self._settings, settings
        names = [field[2] for field in settings.thrift_spec if field]
        changed = [n for n in names if getattr(old, n) != getattr(settings, n)]
        applied = [name for name in changed if name in RELOADABLE_SETTINGS]
        deferred = [name for name in changed if name not in RELOADABLE_SETTINGS]
        self._log("reload", taken=applied, after_restart=deferred)
        if applied:
            self._on_changed(settings)

    def _read_file_state(self) -> tuple[int, int]:
        """Returns the file's modification time in ns and its size in bytes."""
        try:
            status = self._path.stat()
        except OSError:
            # Differs from the state of an existing file, so `check` reads the
            # file again when it is back.
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)
