"""What customers may ask and what searchers can bear."""

from citrondoor.limits._bucket import Bucket
from citrondoor.limits._gate import Gate
from citrondoor.limits._gate import Verdict
from citrondoor.limits._leases import Borrower
from citrondoor.limits._leases import Lender
from citrondoor.limits._rates import START_HOLD_MS
from citrondoor.limits._rates import CustomerRate
from citrondoor.limits._rates import RateTable
from citrondoor.limits._shares import MAX_HOMES
from citrondoor.limits._shares import HomeShares
from citrondoor.limits._shares import assign_homes
from citrondoor.limits._warmth import Warmth

__all__ = [
    "MAX_HOMES",
    "START_HOLD_MS",
    "Borrower",
    "Bucket",
    "CustomerRate",
    "Gate",
    "HomeShares",
    "Lender",
    "RateTable",
    "Verdict",
    "Warmth",
    "assign_homes",
]
