"""Answer policies of contracts: coverage first or latency first."""

import functools

from citrondoor import errors
from citrondoor.schema import declarations

# Time between the end of the wait for searchers and the deadline of the caller,
# in which the answer is merged and sent.
ANSWER_MARGIN_MS = 5


def policy_of(
    contract: declarations.Contract,
) -> declarations.CoverageFirst | declarations.LatencyFirst:
    """Returns the policy that a contract sets."""
    policy = contract.policy
    return policy.coverage_first or policy.latency_first


@functools.singledispatch
def answer_due_at(policy, started_at: int, deadline_at: int) -> int:
    """Returns when to answer with the shards that have answered by then.

    Coverage first waits until shortly before the deadline, latency first for
    the target of the contract, if that is earlier.

    Args:
      policy: Policy of the contract.
      started_at: Clock reading in ms at which the query started.
      deadline_at: Clock reading in ms at which the caller's deadline expires.

    Returns:
      A clock reading in ms, not before `started_at`.

    Raises:
      errors.ParameterError: `policy` is of another type.
    """
    raise errors.ParameterError(
        "policy", policy, "use CoverageFirst or LatencyFirst"
    )


@answer_due_at.register
def _(
    policy: declarations.CoverageFirst, started_at: int, deadline_at: int
) -> int:
    return max(started_at, deadline_at - ANSWER_MARGIN_MS)


@answer_due_at.register
def _(
    policy: declarations.LatencyFirst, started_at: int, deadline_at: int
) -> int:
    latest_at = max(started_at, deadline_at - ANSWER_MARGIN_MS)
    return min(latest_at, started_at + policy.target_ms)


@functools.singledispatch
def retries_until_due(policy) -> bool:
    """Returns whether failed shards are retried until the answer is due.

    If not, the replicas of a failed shard get at most one more round.

    Raises:
      errors.ParameterError: `policy` is of another type.
    """
    raise errors.ParameterError(
        "policy", policy, "use CoverageFirst or LatencyFirst"
    )


@retries_until_due.register
def _(policy: declarations.CoverageFirst) -> bool:
    return True


@retries_until_due.register
def _(policy: declarations.LatencyFirst) -> bool:
    return False
