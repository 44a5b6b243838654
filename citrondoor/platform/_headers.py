"""Names of the platform's headers, in lower case."""

REQUEST_ID = b"x-request-id"
# Time for which the sender waits for the response, in ms; not a point in time.
DEADLINE = b"x-request-deadline"
# Id of the searcher to which the request is addressed. A searcher with another
# id must not run the request.
EXPECTED_SEARCHER = b"x-expect-instance"
# The searcher's proof that the response is its complete answer.
STAMP = b"x-server-stamp"
# Present if the searcher did not run the request and never will.
NOT_RUN = b"x-not-run"
# Time for which the searcher stays cold, in ms.
WARMUP_REMAINING = b"x-warmup-left"
# Requests per second that the searcher accepts from all daemons together, a
# decimal number; not a number of requests in flight.
RATE_LIMIT = b"server-limit"
# "1" if the searcher stops soon, whatever the store says of it.
LEAVING = b"server-leaving"
# With status 503: seconds, a decimal number, for which the searcher wants no
# request from this daemon.
RETRY_AFTER = b"retry-after"
# Number of times that the store came back from a copy, in all its responses.
STORE_ERA = b"store-era"
# Stamps of the shards in a merged answer, separated by commas.
SHARD_STAMPS = b"x-part-stamps"
# Number of shards missing from a merged answer.
MISSING_SHARD_COUNT = b"x-missing-parts"
