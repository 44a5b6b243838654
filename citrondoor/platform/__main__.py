"""Starts the daemon on the platform: `python3 -m citrondoor.platform`.

It imports nothing but `signals` until the signals are blocked.
"""

from citrondoor import signals


def main() -> None:
    """Runs the daemon; a signal during the imports waits for its handler."""
    signals.block()
    from citrondoor.platform import _command

    _command.main()


if __name__ == "__main__":
    main()
