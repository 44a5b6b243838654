"""Which configuration is in force, and who reads the platform."""

from citrondoor.configuration._readers import ReaderSelector
from citrondoor.configuration._store import Store
from citrondoor.configuration._store import UpdateResult

__all__ = ["ReaderSelector", "Store", "UpdateResult"]
