"""Composes answers, depending on the kind of target that a route has."""

import functools
import math

from citrondoor import fanout
from citrondoor import refusals
from citrondoor import routes
from citrondoor.codecs import http1
from citrondoor.entry import _messages
from citrondoor.entry import _running
from citrondoor.schema import messages

# If no searcher ran a request, the refusal asks the caller to retry after this
# delay plus up to as much again. The addition depends on the request id, so
# that callers do not all retry at the same time.
MIN_RETRY_AFTER_MS = 250
# Callers take these for a promise that the request has not run. A searcher that
# promises it says so in another way, and its response is no failure then.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@functools.singledispatch
def min_answering_backends(target) -> int:
    """Returns the minimum number of back ends that must answer."""
    return 1


@min_answering_backends.register
def _(target: routes.ScatterTarget) -> int:
    # The small term keeps a rounding error of the product from adding a shard.
    return max(1, math.ceil(target.min_shard_share * len(target.shards) - 1e-9))


@functools.singledispatch
def top_if_relayable(target) -> int | None:
    """Returns the number of records that a peer keeps when it prunes replies.

    Args:
      target: Target of the route.

    Returns:
      The number of records in the merged answer, or None if requests to this
      target must not be sent through peers.
    """
    return None


@top_if_relayable.register
def _(target: routes.ScatterTarget) -> int | None:
    return target.top


@functools.singledispatch
def trim_response(target, response: http1.Response) -> http1.Response:
    """Returns what an answer needs of a response that waits for others."""
    return response


@trim_response.register
def _(target: routes.ScatterTarget, response: http1.Response) -> http1.Response:
    body = fanout.trim_records(response.body, target.top)
    return http1.Response(response.status, [], body)


@functools.singledispatch
def compose_answer(
    target, running: _running.RunningRequest, status: fanout.FanoutStatus
) -> _messages.Answer:
    """Returns the answer to send to the caller.

    Args:
      target: Target of the route.
      running: The request and the searchers' replies.
      status: Final status of the fanout.
    """
    if status == fanout.FanoutStatus.COMPLETE:
        (reply,) = running.replies.values()
        return _messages.ForwardedAnswer(reply.response)
    failure = running.last_failure
    if (
        status == fanout.FanoutStatus.FAILED
        and failure is not None
        and failure.response.status not in _NOT_RUN_STATUSES
    ):
        return _messages.ForwardedAnswer(failure.response)
    return _refuse(running, status)


@compose_answer.register
def _(
    target: routes.ScatterTarget,
    running: _running.RunningRequest,
    status: fanout.FanoutStatus,
) -> _messages.Answer:
    if status in (fanout.FanoutStatus.COMPLETE, fanout.FanoutStatus.PARTIAL):
        replies = list(running.replies.values())
        bodies = [reply.response.body for reply in replies]
        return _messages.MergedAnswer(
            [reply.stamp for reply in replies],
            len(target.shards) - len(replies),
            fanout.merge_top_records(bodies, target.top),
        )
    return _refuse(running, status)


def _refuse(
    running: _running.RunningRequest, status: fanout.FanoutStatus
) -> messages.Refusal:
    route_name = running.route.definition.name
    missing_backends = running.fanout.missing_groups
    if status == fanout.FanoutStatus.NOT_RUN:
        jitter_ms = hash(running.outbound.request_id) % MIN_RETRY_AFTER_MS
        return refusals.no_searcher(
            route_name, missing_backends, MIN_RETRY_AFTER_MS + jitter_ms
        )
    return refusals.upstream_failed(route_name, missing_backends)
