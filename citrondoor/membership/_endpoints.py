"""Chooses the daemons that callers are sent to, where no VM is declared."""

import random

from citrondoor.schema import serving

# Most addresses that a caller reads of one answer.
MAX_ENDPOINTS = 64


def choose_endpoints(
    endpoints: list[serving.EntryPlace],
    region: str,
    zone: str,
    rng: random.Random,
) -> list[serving.EntryPlace]:
    """Returns the daemons for a caller, nearest first.

    Callers draw one of the addresses, so a small fleet is named whole: load
    spreads evenly, and a caller has others when one fails.

    Args:
      endpoints: Daemons that take requests.
      region: Region of the caller.
      zone: Availability zone of the caller.
      rng: Random source; spreads callers over a large fleet.
    """
    local = [
        endpoint for endpoint in endpoints if endpoint.region == region
    ] or endpoints
    shuffled = rng.sample(local, len(local))
    shuffled.sort(key=lambda endpoint: endpoint.zone != zone)
    return shuffled[:MAX_ENDPOINTS]
