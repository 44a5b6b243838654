"""Which configuration is active, and which daemons read the platform."""

from citrondoor.configuration._readers import ReaderSelector
from citrondoor.configuration._store import Store
from citrondoor.configuration._store import UpdateResult

__all__ = ["ReaderSelector", "Store", "UpdateResult"]
