"""Counters and gauges that a daemon reports in its metrics and status."""

from collections.abc import Callable

from citrondoor import engine
from citrondoor import limits
from citrondoor import links


class Counter:
    """A counter, or a gauge if its value can decrease.

    Args:
      name: OpenTelemetry name without the prefix `citrondoor.`.
      description: Description in the metrics.
      read: Returns the current value.
      is_gauge: Whether the value can decrease.
    """

    __slots__ = ("description", "is_gauge", "name", "read")

    def __init__(
        self,
        name: str,
        description: str,
        read: Callable[[], float],
        is_gauge: bool = False,
    ):
        self.name = name
        self.description = description
        self.read = read
        self.is_gauge = is_gauge


def collect(
    search_engine: engine.SearchEngine,
    run_engine: engine.RunEngine,
    counts: engine.CountReplicator,
    peering: engine.Peering,
    pool: links.UpstreamPool,
    platform: links.PlatformClient,
    synchronizer: engine.ConfigurationSynchronizer,
    warmup: limits.WarmupLimiter,
    admission: engine.Admission,
    bound: limits.ConnectionBound,
    account: limits.MemoryAccount,
) -> list[Counter]:
    """Returns all counters and gauges of a daemon."""
    queries = search_engine.counters
    upstream = pool.counters
    runs = run_engine.counters
    return [
        Counter("queries", "Queries started.", lambda: queries.queries),
        Counter(
            "sub_requests",
            "Sub-requests sent, hedges included.",
            lambda: queries.sub_requests,
        ),
        Counter("hedges", "Hedged sub-requests.", lambda: queries.hedges),
        Counter(
            "late_answers",
            "Sub-answers that came too late.",
            lambda: queries.late_answers,
        ),
        Counter(
            "foreign_answers",
            "Responses that matched no request.",
            lambda: upstream.unmatched,
        ),
        Counter(
            "upstream.malformed",
            "Connections closed because of what searchers sent.",
            lambda: upstream.malformed,
        ),
        Counter(
            "upstream.connects",
            "Connections opened to searchers.",
            lambda: upstream.connects,
        ),
        Counter(
            "upstream.sheds",
            "Sub-requests shed, here or by searchers.",
            lambda: upstream.sheds,
        ),
        Counter(
            "upstream.failures",
            "Sub-requests that failed.",
            lambda: upstream.failures,
        ),
        Counter(
            "upstream.cancels", "Cancellations sent.", lambda: upstream.cancels
        ),
        Counter(
            "upstream.cold",
            "Searchers that are cold.",
            lambda: warmup.cold_count,
            is_gauge=True,
        ),
        Counter(
            "runs.started",
            "Non-idempotent requests sent to searchers.",
            lambda: runs.attempts,
        ),
        Counter(
            "runs.repeated",
            "Repeated ids that got the stored result.",
            lambda: runs.repeated,
        ),
        Counter(
            "runs.unknown",
            "Non-idempotent requests of unknown outcome.",
            lambda: runs.unknown_outcomes,
        ),
        Counter(
            "counts.stored",
            "Counts stored in other zones.",
            lambda: counts.stored_count,
        ),
        Counter(
            "counts.unstored",
            "Counts that no other zone could store.",
            lambda: counts.store_failure_count,
        ),
        Counter(
            "counts.repeated",
            "Requests whose id was counted before.",
            lambda: counts.duplicate_count,
        ),
        Counter(
            "counts.ranges",
            "Ranges of numbers in the ledger.",
            lambda: counts.ledger.range_count,
            is_gauge=True,
        ),
        Counter(
            "peers.bytes",
            "Bytes sent and received on peer links.",
            lambda: peering.byte_count,
        ),
        Counter(
            "peers.garbage",
            "Peer connections that broke the protocol.",
            lambda: peering.protocol_error_count,
        ),
        Counter(
            "platform.reads",
            "Calls of the platform.",
            lambda: platform.read_count,
        ),
        Counter(
            "configuration.rejected",
            "Documents that were not taken.",
            lambda: synchronizer.rejected_count,
        ),
        Counter(
            "configuration.waiting",
            "Documents that wait for the whole to agree.",
            lambda: synchronizer.store.pending_count,
            is_gauge=True,
        ),
        Counter(
            "memory.kept",
            "Bytes that messages of callers and peers keep.",
            lambda: account.kept_bytes,
            is_gauge=True,
        ),
        Counter(
            "memory.gave_way",
            "Times that messages were dropped for want of memory.",
            lambda: sum(account.gave_way_counts.values()),
        ),
        Counter(
            "connections.refused",
            "Connections whose request was refused for want of descriptors.",
            lambda: bound.refused_count,
        ),
        Counter(
            "connections.closed",
            "Connections closed for want of descriptors.",
            lambda: bound.closed_count,
        ),
        Counter(
            "requests.in_flight",
            "Requests being served.",
            lambda: admission.in_flight,
            is_gauge=True,
        ),
    ]
