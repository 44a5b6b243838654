"""Requests, answers and store contents, independent of their encoding."""

import typing

from citrondoor import discovery
from citrondoor.codecs import http1
from citrondoor.schema import messages
from citrondoor.schema import serving


class CallerRequest:
    """A request of a caller.

    Args:
      request_id: Id that the caller gave this attempt.
      host: Host that selects the route.
      deadline_ms: Time from the arrival that the caller waits for an answer;
        None if the caller did not state one.
      http: The HTTP request as received.
      headers: Headers that are passed on to searchers.
      arrived_at: Clock reading, in ms, when the request was fully received.
      round_trip_ms: Network round-trip time to the caller; 0 if unknown.
    """

    __slots__ = (
        "arrived_at",
        "deadline_ms",
        "headers",
        "host",
        "http",
        "request_id",
        "round_trip_ms",
    )

    def __init__(
        self,
        request_id: bytes,
        host: str,
        deadline_ms: int | None,
        http: http1.Request,
        headers: http1.Headers,
        arrived_at: int,
        round_trip_ms: int = 0,
    ):
        self.request_id = request_id
        self.host = host
        self.deadline_ms = deadline_ms
        self.http = http
        self.headers = headers
        self.arrived_at = arrived_at
        self.round_trip_ms = round_trip_ms


class MergedAnswer:
    """The merged records of several shards.

    Args:
      stamps: For each merged shard, its searcher's proof that it made the
        response.
      missing_count: Number of shards whose records are not included.
      body: The greatest records of all merged shards, greatest first.
    """

    __slots__ = ("body", "missing_count", "stamps")

    def __init__(self, stamps: list[bytes], missing_count: int, body: bytes):
        self.stamps = stamps
        self.missing_count = missing_count
        self.body = body


class ForwardedAnswer:
    """The response of one searcher, forwarded unchanged.

    Args:
      response: The searcher's response.
    """

    __slots__ = ("response",)

    def __init__(self, response: http1.Response):
        self.response = response


Answer = MergedAnswer | ForwardedAnswer | messages.Refusal


class StoreContents:
    """The contents of the platform's store, from one read.

    Args:
      position: Position of the store when the read began; some later changes
        are included.
      routes: The configuration, or if it cannot be decoded, the newest one that
        could be, in an earlier read; None if there is none.
      upstreams: Searchers whose entries could be decoded.
      evacuated_zones: Availability zones whose searchers get no requests.
      listing_revisions: At which revision each searcher was read; None if all
        were read at that of `position`.
    """

    __slots__ = (
        "evacuated_zones",
        "listing_revisions",
        "position",
        "routes",
        "upstreams",
    )

    def __init__(
        self,
        position: discovery.Position,
        routes: serving.RouteSet | None,
        upstreams: list[serving.Upstream],
        evacuated_zones: list[str],
        listing_revisions: discovery.ListingRevisions | None = None,
    ):
        self.listing_revisions = listing_revisions
        self.position = position
        self.routes = routes
        self.upstreams = upstreams
        self.evacuated_zones = evacuated_zones


class Store(typing.Protocol):
    """Client of the platform's store, implemented by the platform adapter."""

    async def read(self) -> StoreContents:
        """Returns the whole contents of the store.

        Raises:
          errors.PlatformError: The store gave no usable answer.
        """
