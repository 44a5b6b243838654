"""Stand-in of a searcher that sends some of its answers a second time."""

import random

from standins import searcher as searchers
from standins import wire


class GarblingSearcher(searchers.Searcher):
    """Repeats a share of its answers where the next one is expected.

    Attributes:
      extra_share: Share of its answers that it repeats.
      extra_count: Answers that it repeated.
    """

    extra_share = 0.0
    extra_count = 0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._rng = random.Random(self.name)
        # By connection, what comes before its next answer.
        self._extras: dict[object, bytes] = {}

    async def _serve(self, request: wire.Message, reader, writer) -> bool:
        extra = self._extras.pop(writer, None)
        if extra is not None:
            self.extra_count += 1
            self._record.write(
                "extra",
                searcher=self.name,
                on_request=request.headers.get("x-request-id", "-"),
                answer=extra.split(b"\r\n\r\n")[0].decode().split("\r\n"),
            )
            writer.write(extra)
        is_open = await super()._serve(request, reader, writer)
        if not is_open:
            self._extras.pop(writer, None)
        return is_open

    def _on_sent(self, writer, response: bytes) -> None:
        if self._rng.random() < self.extra_share:
            self._extras[writer] = response
