"""Events of one daemon, merged over all daemons by the command line."""

from citrondoor.timeline._recorder import Recorder

__all__ = ["Recorder"]
