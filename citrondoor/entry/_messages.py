"""Requests and answers inside the daemon, whatever their encoding."""

import typing

from citrondoor.codecs import http1
from citrondoor.schema import messages
from citrondoor.schema import serving


class CallerRequest:
    """A request of a caller.

    Args:
      request_id: Id that the caller gave this attempt.
      host: Host that selects the route.
      deadline_ms: Time that the caller waits; None when it does not say.
      http: The request as it came.
      headers: Headers that searchers get as well.
      arrived_at: Clock reading at which it was whole.
      round_trip_ms: Time of a packet to the caller and back.
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
      stamps: Proofs of the shards that are in.
      missing_count: Number of shards that are not.
      body: The greatest records, greatest first.
    """

    __slots__ = ("body", "missing_count", "stamps")

    def __init__(self, stamps: list[bytes], missing_count: int, body: bytes):
        self.stamps = stamps
        self.missing_count = missing_count
        self.body = body


class ForwardedAnswer:
    """The response of one searcher, unchanged.

    Args:
      response: The response.
    """

    __slots__ = ("response",)

    def __init__(self, response: http1.Response):
        self.response = response


Answer = MergedAnswer | ForwardedAnswer | messages.Refusal


class StoreContents:
    """Everything that the store holds, as of one revision.

    Args:
      revision: Revision of the store when the reading began.
      routes: The newest configuration; None when there is no readable one.
      upstreams: Searchers whose entries are readable.
      evacuated_zones: Availability zones that get no work.
    """

    __slots__ = ("evacuated_zones", "revision", "routes", "upstreams")

    def __init__(
        self,
        revision: int,
        routes: serving.RouteSet | None,
        upstreams: list[serving.Upstream],
        evacuated_zones: list[str],
    ):
        self.revision = revision
        self.routes = routes
        self.upstreams = upstreams
        self.evacuated_zones = evacuated_zones


class Store(typing.Protocol):
    """The platform's store; the platform's adapter implements it."""

    async def read(self) -> StoreContents:
        """Returns everything that the store holds.

        Raises:
          errors.PlatformError: The store gave no usable answer.
        """
