"""Bounds the steps of a shutdown in time.

Handles steps that wait for others, such as a searcher or a peer that never
answers: without a limit the platform would kill the daemon, and the steps after
it, such as handing on the counts, would be lost.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from citrondoor import clock as clocks


async def run(
    name: str,
    limit_ms: int,
    step: Awaitable[None],
    report: Callable[..., None],
) -> None:
    """Waits for a step of a shutdown until its time limit.

    Args:
      name: Name of the step, for the log.
      limit_ms: Time after which the step is cancelled.
      step: What to wait for.
      report: Called with `shutdown_step_cut` and its fields after the limit.
    """
    try:
        async with asyncio.timeout(limit_ms / clocks.MS_PER_S):
            await step
    except TimeoutError:
        report("shutdown_step_cut", step=name, limit_ms=limit_ms)
