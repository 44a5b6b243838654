"""Why a daemon ends, and the exit code that says so."""

import enum
import traceback

from citrondoor import errors

# Innermost frames of an unexpected error that are written to the log.
MAX_LOGGED_FRAMES = 10


class ExitCode(enum.IntEnum):
    """Exit codes of the daemons; 1 is the interpreter's, for a failed import.

    Attributes:
      PLANNED: A signal asked for the end.
      BAD_SETTINGS: The settings file is missing or invalid.
      INVARIANT: It would have been unsafe to continue.
      ERROR: An unexpected error ended the start or the shutdown.
    """

    PLANNED = 0
    BAD_SETTINGS = 2
    INVARIANT = 3
    ERROR = 4


class Ending:
    """The reason of an end, for the last log line.

    Attributes:
      code: Exit code of the process.
      fields: Fields of the log line: `reason` and what belongs to it.
    """

    __slots__ = ("code", "fields")

    def __init__(self, code: ExitCode, reason: str, **fields: str):
        self.code = code
        self.fields = {"reason": reason, **fields}


def of_signal(name: str) -> Ending:
    """Returns the end that a signal asked for."""
    return Ending(ExitCode.PLANNED, "signal", signal=name)


def of_settings(error: Exception) -> Ending:
    """Returns the end by invalid settings."""
    return Ending(ExitCode.BAD_SETTINGS, "settings", error=str(error))


def of_error(part: str, error: Exception) -> Ending:
    """Returns the end by an error that no part is started again after.

    Args:
      part: Part of the daemon or state of its lifecycle in which it was raised.
      error: The error.
    """
    if isinstance(error, errors.InvariantError):
        return Ending(
            ExitCode.INVARIANT, "invariant", part=part, error=repr(error)
        )
    frames = traceback.format_exception(error, limit=-MAX_LOGGED_FRAMES)
    return Ending(
        ExitCode.ERROR,
        "error",
        part=part,
        error=repr(error),
        traceback="".join(frames),
    )
