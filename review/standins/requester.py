"""Stand-in of a requester: one attempt on a connection."""

import asyncio
import secrets

from standins import record as records
from standins import wire


class Result:
    """How an attempt ended.

    Args:
      request_id: Id of the attempt.
      response: The response; None if none arrived in full.
      ended_by: "answer", "closed", "reset", "refused" or "timeout".
    """

    def __init__(
        self, request_id: str, response: wire.Message | None, ended_by: str
    ):
        self.request_id = request_id
        self.response = response
        self.ended_by = ended_by


class Connection:
    """A requester's connection to a daemon, kept for many requests.

    Args:
      address: Host and port of the daemon.
      host_name: `Host` header.
      record: Where it writes what it sent and received.
    """

    def __init__(
        self, address: tuple[str, int], host_name: str, record: records.Record
    ):
        self._address = address
        self._host_name = host_name
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connects within a second.

        Raises:
          OSError: The daemon does not accept the connection.
          TimeoutError: It takes longer.
        """
        async with asyncio.timeout(1):
            self._reader, self._writer = await asyncio.open_connection(
                *self._address
            )

    async def request(
        self, method: str, target: str, deadline_ms: int, body: bytes = b""
    ) -> Result:
        """Sends an attempt with an id of its own and waits for its end."""
        request_id = secrets.token_hex(8)
        result = await self._request(
            request_id, method, target, deadline_ms, body
        )
        response = result.response
        self._record.write(
            "end",
            id=request_id,
            by=result.ended_by,
            status=response.status if response else "-",
            stamps=(
                response.headers.get("x-part-stamps")
                or response.headers.get("x-server-stamp", "-")
                if response
                else "-"
            ),
        )
        return result

    async def _request(
        self, request_id, method, target, deadline_ms, body
    ) -> Result:
        headers = {
            "Host": self._host_name,
            "X-Request-Id": request_id,
            "X-Request-Deadline": str(deadline_ms),
        }
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                if self._writer is None:
                    await self.open()
                self._record.write(
                    "send",
                    id=request_id,
                    to="{}:{}".format(*self._address),
                    target=target,
                )
                self._writer.write(
                    wire.encode_request(method, target, headers, body)
                )
                response = await wire.read_message(self._reader)
        except ConnectionRefusedError:
            return Result(request_id, None, "refused")
        except (OSError, asyncio.IncompleteReadError):
            return Result(request_id, None, "reset")
        except TimeoutError:
            return Result(request_id, None, "timeout")
        if response is None:
            return Result(request_id, None, "closed")
        return Result(request_id, response, "answer")

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
