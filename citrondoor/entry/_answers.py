"""What the target of a route means for a request and its answer."""

import functools
import math

from citrondoor import fanout
from citrondoor import refusals
from citrondoor import routes
from citrondoor.entry import _messages
from citrondoor.entry import _running
from citrondoor.schema import messages

# A caller that is turned away while a back end is down comes back after this
# time and up to as long again, so that callers do not return together.
RETRY_AFTER_MS = 250


@functools.singledispatch
def least_groups(target) -> int:
    """Returns how many back ends must answer."""
    return 1


@least_groups.register
def _(target: routes.ScatterTarget) -> int:
    return max(1, math.ceil(target.least_share * len(target.shards) - 1e-9))


@functools.singledispatch
def relayed_records(target) -> int | None:
    """Returns how many records matter, or None if no peer may send."""
    return None


@relayed_records.register
def _(target: routes.ScatterTarget) -> int | None:
    return target.top


@functools.singledispatch
def compose(
    target, running: _running.Running, status: fanout.FanoutStatus
) -> _messages.Answer:
    """Returns the answer that a caller gets.

    Args:
      target: What the route leads to.
      running: The request and the searchers' replies.
      status: What was decided.
    """
    if status == fanout.FanoutStatus.COMPLETE:
        (reply,) = running.replies.values()
        return _messages.ForwardedAnswer(reply.response)
    if status == fanout.FanoutStatus.FAILED and running.failure is not None:
        return _messages.ForwardedAnswer(running.failure.response)
    return _refuse(running, status)


@compose.register
def _(
    target: routes.ScatterTarget,
    running: _running.Running,
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
    running: _running.Running, status: fanout.FanoutStatus
) -> messages.Refusal:
    name = running.route.definition.name
    missing = running.fanout.missing_groups
    if status == fanout.FanoutStatus.NOT_RUN:
        spread_ms = hash(running.outbound.request_id) % RETRY_AFTER_MS
        return refusals.no_searcher(name, missing, RETRY_AFTER_MS + spread_ms)
    return refusals.upstream_failed(name, missing)
