"""Holds back the signals that a daemon handles while no handler stands.

Blocked signals stay pending and reach the handlers once they are unblocked.
Only the programs call these functions: importing the package leaves the
caller's signal mask as it is.
"""

# `signal` imports `enum`, which takes as long as the interpreter's own start.
import _signal

HANDLED = (_signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM)


def block() -> None:
    """Blocks the handled signals in this thread and those that it starts."""
    _signal.pthread_sigmask(_signal.SIG_BLOCK, HANDLED)


def allow_floods() -> None:
    """Lets the event loop's pipe for signals run full without a warning.

    Called once the loop's handlers stand. For a signal that finds the pipe full
    the interpreter would schedule a warning, inside the handler and with a lock
    that the interrupted code may hold: the process then waits for itself.
    """
    pipe = _signal.set_wakeup_fd(-1)
    _signal.set_wakeup_fd(pipe, warn_on_full_buffer=False)


def unblock() -> None:
    """Lets this thread receive the handled signals."""
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, HANDLED)


def pending_end() -> str | None:
    """Returns the name of a blocked signal that asks for the end, or None."""
    pending = _signal.sigpending()
    if _signal.SIGTERM in pending:
        return "SIGTERM"
    return "SIGINT" if _signal.SIGINT in pending else None
