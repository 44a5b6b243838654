"""Rate limits of customers and concurrency limits of searchers."""

from citrondoor.limits._concurrency import ConcurrencyLimiter
from citrondoor.limits._concurrency import OfferResult
from citrondoor.limits._descriptors import Admission
from citrondoor.limits._descriptors import ConnectionBound
from citrondoor.limits._descriptors import DescriptorShares
from citrondoor.limits._descriptors import LinkBound
from citrondoor.limits._descriptors import LinkUse
from citrondoor.limits._leases import Borrower
from citrondoor.limits._leases import Lender
from citrondoor.limits._memory_account import BYTES_PER_MB
from citrondoor.limits._memory_account import Holder
from citrondoor.limits._memory_account import MemoryAccount
from citrondoor.limits._memory_account import kept_limit_bytes
from citrondoor.limits._memory_account import view_limit_bytes
from citrondoor.limits._rates import STARTUP_LEASE_WAIT_MS
from citrondoor.limits._rates import CustomerRateLimiter
from citrondoor.limits._rates import RateLimiterTable
from citrondoor.limits._read_budget import READ_PIECES
from citrondoor.limits._read_budget import MessageEffort
from citrondoor.limits._read_budget import ReadBudget
from citrondoor.limits._shares import MAX_OWNERS
from citrondoor.limits._shares import OwnerShares
from citrondoor.limits._shares import assign_owners
from citrondoor.limits._token_bucket import TokenBucket
from citrondoor.limits._warmup import WarmupLimiter

__all__ = [
    "BYTES_PER_MB",
    "MAX_OWNERS",
    "READ_PIECES",
    "STARTUP_LEASE_WAIT_MS",
    "Admission",
    "Borrower",
    "ConcurrencyLimiter",
    "ConnectionBound",
    "CustomerRateLimiter",
    "DescriptorShares",
    "Holder",
    "Lender",
    "LinkBound",
    "LinkUse",
    "MemoryAccount",
    "MessageEffort",
    "OfferResult",
    "OwnerShares",
    "RateLimiterTable",
    "ReadBudget",
    "TokenBucket",
    "WarmupLimiter",
    "assign_owners",
    "kept_limit_bytes",
    "view_limit_bytes",
]
