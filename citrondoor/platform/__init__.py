"""Translates between citrondoor and the platform that it runs on.

Only this package uses the platform's names for headers, store keys and fields.
Routing, limits and retries are decided in `entry`. The only state here, apart
from a counter of requests, is the last readable configuration and the
unreadable values that were reported, both in `StoreClient`.
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
