"""Searchers registered in the platform's store, and evacuated zones."""

from citrondoor.discovery._evacuated_zones import EvacuatedZones
from citrondoor.discovery._listing_revisions import ListingRevisions
from citrondoor.discovery._outages import StoreOutageDetector
from citrondoor.discovery._position import Position
from citrondoor.discovery._registry import Registry

__all__ = [
    "EvacuatedZones",
    "ListingRevisions",
    "Position",
    "Registry",
    "StoreOutageDetector",
]
