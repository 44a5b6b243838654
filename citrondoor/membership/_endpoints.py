"""Chooses the daemons that callers should use, among announced endpoints."""

import random

from citrondoor.schema import serving

# Callers read at most this many addresses of a response.
MAX_ENDPOINTS = 64


def choose_endpoints(
    endpoints: list[serving.EntryPlace],
    region: str,
    zone: str,
    rng: random.Random,
) -> list[serving.EntryPlace]:
    """Returns up to `MAX_ENDPOINTS` daemons for a caller, nearest first.

    Daemons in the caller's region are returned, or those of all regions if it
    has none; within them, the caller's availability zone comes first. Callers
    pick one of the addresses at random; the order decides which daemons are
    left out if there are more than `MAX_ENDPOINTS`. All daemons of a small
    cluster are returned, so that the load is even and a caller has alternatives
    when one daemon fails.

    Args:
      endpoints: Daemons that accept requests.
      region: Region of the caller.
      zone: Availability zone of the caller.
      rng: Random number generator; each caller of a large cluster gets a
        different sample.
    """
    candidates = [
        endpoint for endpoint in endpoints if endpoint.region == region
    ] or endpoints
    shuffled = rng.sample(candidates, len(candidates))
    shuffled.sort(key=lambda endpoint: endpoint.zone != zone)
    return shuffled[:MAX_ENDPOINTS]
