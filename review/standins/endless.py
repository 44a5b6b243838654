"""Stand-in of a searcher in trouble whose answers never end."""

import asyncio

from standins import searcher as searchers
from standins import wire

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# A body in chunks of two bytes each.
CHUNKS = b"2\r\nab\r\n" * 9362


class EndlessSearcher(searchers.Searcher):
    """Sends a body without end until the caller closes.

    Attributes:
      is_in_trouble: Whether it does so; it is a sound searcher otherwise.
      endless_count: Answers that it began.
    """

    is_in_trouble = False
    endless_count = 0

    async def _serve(self, request: wire.Message, reader, writer) -> bool:
        if not self.is_in_trouble:
            return await super()._serve(request, reader, writer)
        self.endless_count += 1
        request_id = request.headers.get("x-request-id", "-")
        self._record.write("endless", id=request_id, searcher=self.name)
        sent_bytes = 0
        writer.write(HEAD)
        try:
            while True:
                writer.write(CHUNKS)
                await writer.drain()
                sent_bytes += len(CHUNKS)
                await asyncio.sleep(0)
        except OSError:
            self._record.write("cut", id=request_id, sent_bytes=sent_bytes)
            return False
