"""Which configuration is in force, and who reads the platform."""

from citrondoor.configuration._readers import ReaderChoice
from citrondoor.configuration._store import Offer
from citrondoor.configuration._store import Store

__all__ = ["Offer", "ReaderChoice", "Store"]
