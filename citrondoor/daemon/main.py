"""Starts the command `citrondoord`.

It imports nothing but `signals` until the signals are blocked.
"""

from citrondoor import signals


def main() -> None:
    """Runs `citrondoord`; a signal during the imports waits for its handler."""
    signals.block()
    from citrondoor.daemon import command

    command.main()


if __name__ == "__main__":
    main()
