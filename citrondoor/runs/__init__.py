"""At-most-once arbitration of non-idempotent requests, and sessions."""

from citrondoor.runs._arbiter import Arbiter
from citrondoor.runs._arbiter import ClaimStatus
from citrondoor.runs._sessions import Session
from citrondoor.runs._sessions import SessionIssuer
from citrondoor.runs._sessions import parse_session

__all__ = [
    "Arbiter",
    "ClaimStatus",
    "Session",
    "SessionIssuer",
    "parse_session",
]
