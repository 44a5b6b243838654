"""Starts the entry daemon, sooner after the interpreter than `-m` does.

`-m` imports `runpy` first, which takes as long as the interpreter's own start.
"""

import _signal


def main() -> None:
    """Runs the daemon from one build, with its signals held back at once."""
    # As `citrondoor.signals` does, which takes a search of the path to import.
    _signal.pthread_sigmask(
        _signal.SIG_BLOCK, (_signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM)
    )
    import os
    import sys

    # A build may replace the link `target/deps` during the imports.
    sys.path[:] = map(os.path.realpath, sys.path)
    from citrondoor.platform import __main__ as program

    program.main()


main()
