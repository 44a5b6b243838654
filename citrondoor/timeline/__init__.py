"""State change events of one daemon.

The command line merges the events of all daemons that report them.
"""

from citrondoor.timeline._recorder import Recorder

__all__ = ["Recorder"]
