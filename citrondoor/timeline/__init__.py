"""Events of one daemon, merged over all daemons by the command line."""

from citrondoor.timeline._recorder import Recorder
from citrondoor.timeline._recorder import merge

__all__ = ["Recorder", "merge"]
