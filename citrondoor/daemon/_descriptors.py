"""Reads and raises the limit on the descriptors of the process."""

import contextlib
import resource

# Stands for a limit that the kernel states as infinite.
_UNLIMITED = 1 << 30


def raise_limit() -> int:
    """Raises the soft limit to the hard limit, and returns the soft limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        with contextlib.suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
            soft = hard
    return _UNLIMITED if soft == resource.RLIM_INFINITY else soft
