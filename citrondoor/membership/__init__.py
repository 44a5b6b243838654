"""Tracks which daemons are alive, and whether the local view is current."""

from citrondoor.membership._endpoints import choose_endpoints
from citrondoor.membership._entries import choose_entry_vms
from citrondoor.membership._members import Members
from citrondoor.membership._neighbours import choose_cross_zone_peers
from citrondoor.membership._neighbours import choose_neighbours
from citrondoor.membership._pause_detector import PauseDetector
from citrondoor.membership._rejoin import RejoinSchedule

__all__ = [
    "Members",
    "PauseDetector",
    "RejoinSchedule",
    "choose_cross_zone_peers",
    "choose_endpoints",
    "choose_entry_vms",
    "choose_neighbours",
]
