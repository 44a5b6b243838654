"""Translates between citrondoor and the platform that it runs on.

Only this folder knows the platform's names. It decides nothing and keeps no
state beyond caches of what it decoded.
"""

from citrondoor.platform._callers import CallerHandler
from citrondoor.platform._callers import DirectoryHandler
from citrondoor.platform._callers import ReadinessHandler
from citrondoor.platform._searcher_codec import PlatformSearcherCodec
from citrondoor.platform._store import StoreClient

__all__ = [
    "CallerHandler",
    "DirectoryHandler",
    "PlatformSearcherCodec",
    "ReadinessHandler",
    "StoreClient",
]
