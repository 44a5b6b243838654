"""Searchers that register themselves, and zones that get no work."""

from citrondoor.discovery._evacuations import Evacuations
from citrondoor.discovery._outages import OutageWatch
from citrondoor.discovery._registry import Registry

__all__ = ["Evacuations", "OutageWatch", "Registry"]
