"""Translates between citrondoor and the platform that it runs on.

Only this package uses the platform's names for headers, store keys and fields.
Routing, limits and retries are decided in `entry`. The only state here, apart
from a counter of requests, is the last readable configuration and the
unreadable values that were reported, and the era of the store, all in
`StoreClient`.

`__main__` starts the daemon. This file imports nothing, because it runs before
`__main__` can block the signals.
"""
