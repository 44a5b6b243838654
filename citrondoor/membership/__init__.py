"""Which daemons are alive, and whether this one's own view is current."""

from citrondoor.membership._entries import choose_entries
from citrondoor.membership._freshness import Freshness
from citrondoor.membership._members import Members
from citrondoor.membership._neighbours import choose_bridges
from citrondoor.membership._neighbours import choose_neighbours
from citrondoor.membership._places import choose_places

__all__ = [
    "Freshness",
    "Members",
    "choose_bridges",
    "choose_entries",
    "choose_neighbours",
    "choose_places",
]
