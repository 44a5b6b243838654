"""Translates between citrondoor and the platform that it runs on.

Only this package uses the platform's names for headers, store keys and fields.
It makes no decisions, and its only state is the last readable configuration
and the list of unreadable values that it has reported.
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
