"""What a contract puts first: coverage or latency."""

import functools

from citrondoor import errors
from citrondoor.schema import declarations

# Left between the last sub-answer and the deadline, for merging and sending.
ANSWER_MARGIN_MS = 5


def policy_of(
    contract: declarations.Contract,
) -> declarations.CoverageFirst | declarations.LatencyFirst:
    """Returns the policy that a contract sets."""
    policy = contract.policy
    return policy.coverage_first or policy.latency_first


@functools.singledispatch
def answer_by(policy, started_at: int, deadline_at: int) -> int:
    """Returns when to answer with what has come, as a clock reading in ms."""
    raise errors.ParameterError(
        "policy", policy, "use CoverageFirst or LatencyFirst"
    )


@answer_by.register
def _(
    policy: declarations.CoverageFirst, started_at: int, deadline_at: int
) -> int:
    return max(started_at, deadline_at - ANSWER_MARGIN_MS)


@answer_by.register
def _(
    policy: declarations.LatencyFirst, started_at: int, deadline_at: int
) -> int:
    latest = max(started_at, deadline_at - ANSWER_MARGIN_MS)
    return min(latest, started_at + policy.target_ms)


@functools.singledispatch
def retries_missing(policy) -> bool:
    """Returns whether to try a shard again after every replica failed once."""
    raise errors.ParameterError(
        "policy", policy, "use CoverageFirst or LatencyFirst"
    )


@retries_missing.register
def _(policy: declarations.CoverageFirst) -> bool:
    return True


@retries_missing.register
def _(policy: declarations.LatencyFirst) -> bool:
    return False
