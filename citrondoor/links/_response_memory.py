"""Records what a connection to a searcher keeps, in the account of memory."""

import asyncio
import functools
from collections.abc import Callable

from citrondoor import limits
from citrondoor.codecs import http1
from citrondoor.schema import serving

# What a connection keeps counts in the account of memory from this size on;
# ordinary messages take less.
MIN_RECORDED_BYTES = 4096
# A partial response that keeps more than this gives way like one without an
# end: new requests must not be refused for it.
LARGE_RESPONSE_BYTES = 1_048_576
# Bytes that are read at a time. The event loop reads from every connection in
# turn, and a searcher in trouble may make each byte expensive to parse.
MAX_READ_BYTES = 32_768


def limit_transport(transport: asyncio.Transport) -> None:
    """Sets how much is read at a time, and what unsent bytes are reported.

    The event loop calls `pause_writing` when these reach `MIN_RECORDED_BYTES`,
    so that a request that is sent at once need not be recorded.
    """
    transport.max_size = MAX_READ_BYTES
    transport.set_write_buffer_limits(high=MIN_RECORDED_BYTES - 1)


class ResponseMemory:
    """What one connection keeps of responses and of unsent requests.

    Args:
      account: Account of the memory that messages keep.
      fail: Closes the connection with an error; called when it gives way.

    Attributes:
      is_recorded: Whether the account has or had something when `record` was
        last called.
    """

    __slots__ = ("_holder", "is_recorded")

    def __init__(
        self,
        account: limits.MemoryAccount,
        fail: Callable[[http1.ProtocolError], None],
    ):
        self._holder = account.open(
            serving.Sender.SEARCHER, functools.partial(_give_way, fail)
        )
        self.is_recorded = False

    def record(self, reader, unsent_bytes: int, waiting_bytes: int = 0) -> None:
        """Records what is kept now; the connection may give way at once.

        Args:
          reader: Reader of the responses, with `kept_bytes` and `is_endless`.
          unsent_bytes: Bytes of requests that are not sent yet.
          waiting_bytes: Memory of complete responses that nobody took yet.
        """
        partial_bytes = reader.kept_bytes
        kept_bytes = partial_bytes + unsent_bytes + waiting_bytes
        if kept_bytes < MIN_RECORDED_BYTES:
            kept_bytes = 0
        self.is_recorded = kept_bytes > 0
        if kept_bytes or self._holder.kept_bytes:
            self._holder.record(
                kept_bytes,
                reader.is_endless or partial_bytes > LARGE_RESPONSE_BYTES,
                is_complete=waiting_bytes > 0 and not partial_bytes,
            )

    def close(self) -> None:
        """Removes the connection from the account for good."""
        self._holder.close()


def _give_way(fail: Callable[[http1.ProtocolError], None]) -> None:
    fail(
        http1.ProtocolError(
            502,
            "all messages together need too much memory, and the response"
            " on this connection is among the largest",
        )
    )
