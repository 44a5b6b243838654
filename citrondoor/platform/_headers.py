"""Names of the platform's headers, in lower case."""

REQUEST_ID = b"x-request-id"
# Time that the sender of a request waits, in ms; not a point in time.
DEADLINE = b"x-request-deadline"
EXPECTED_SEARCHER = b"x-expect-instance"
STAMP = b"x-server-stamp"
# Present when the searcher did not run the request and never will.
NOT_RUN = b"x-not-run"
# Time that a searcher stays cold, in ms.
COLD_LEFT = b"x-warmup-left"
SHARD_STAMPS = b"x-part-stamps"
MISSING_SHARDS = b"x-missing-parts"
