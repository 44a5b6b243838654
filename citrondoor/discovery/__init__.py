"""Searchers registered in the platform's store, and evacuated zones."""

from citrondoor.discovery._evacuated_zones import EvacuatedZones
from citrondoor.discovery._listing_revisions import ListingRevisions
from citrondoor.discovery._outages import StoreOutageDetector
from citrondoor.discovery._position import Position
from citrondoor.discovery._registry import RETURNED_HOLD_MS
from citrondoor.discovery._registry import Registry

__all__ = [
    "RETURNED_HOLD_MS",
    "EvacuatedZones",
    "ListingRevisions",
    "Position",
    "Registry",
    "StoreOutageDetector",
]
