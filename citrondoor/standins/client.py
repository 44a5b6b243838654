"""Stand-in of a caller.

It gets the URLs of entries, the daemons to which callers send requests, from
/v1/entries, and retries a request under the same id.
"""

import asyncio
import random

import httptools
import orjson

from citrondoor import clock as clocks
from citrondoor.standins import http_client

# The HTTP timeout of an attempt is its deadline plus this.
TIMEOUT_MARGIN_MS = 1000
# Mean pause before a retry when the response has no `retry_after_ms`.
RETRY_PAUSE_MS = 50
# After these refusals, a run is sent to another arbiter under a new id.
NEW_ID_REFUSAL_KINDS = ("zone_out", "leaving")
MAX_IDS_PER_RUN = 5
RESEND_TOTAL_TIMEOUT_MS = 10_000


class Outcome:
    """Final result of a request after all its attempts.

    Args:
      request_id: Id of the request.
      status: HTTP status of the last attempt; 0 when it got no valid response.
      content: JSON body of the response; empty with status 0.
      attempts: Number of attempts.
      latency_ms: Time from the first attempt, in ms.
    """

    __slots__ = ("attempts", "content", "latency_ms", "request_id", "status")

    def __init__(
        self,
        request_id: str,
        status: int,
        content: dict,
        attempts: int,
        latency_ms: float,
    ):
        self.request_id = request_id
        self.status = status
        self.content = content
        self.attempts = attempts
        self.latency_ms = latency_ms

    @property
    def is_counted(self) -> bool:
        """Whether the response has a receipt that says it was counted."""
        receipt = self.content.get("receipt")
        return receipt is not None and receipt["counted"]


class Caller:
    """One caller of one customer.

    Args:
      seeds: URLs of entries that the first list of entries is requested from.
      key: Key of the customer.
      zone: Zone of the caller; empty when it has none.
      rng: Random generator for the pauses between attempts.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_entries",
        "_expires_at",
        "_key",
        "_number",
        "_rng",
        "_seeds",
        "_session",
        "_zone",
    )

    def __init__(
        self, seeds: list[str], key: str, zone: str, rng: random.Random
    ):
        self._seeds = seeds
        self._key = key
        self._zone = zone
        self._rng = rng
        self._clock = clocks.Clock()
        self._client = http_client.HttpClient()
        self._entries: list[str] = []
        self._expires_at = 0
        self._session = ""
        self._number = 0

    @property
    def session(self) -> str:
        """The session that request ids belong to; empty before entries()."""
        return self._session

    async def close(self) -> None:
        """Closes the idle connections; requests in flight keep theirs."""
        self._client.close()

    def next_id(self) -> str:
        """Returns a new request id; entries() must have returned before."""
        self._number += 1
        return f"{self._session}.{self._number}"

    async def entries(self) -> list[str]:
        """Returns the URLs of entries, requested again after they expire.

        The first response also sets the session. When no entry answers, returns
        the expired URLs and the seeds.
        """
        now = self._clock.now()
        if self._entries and now < self._expires_at:
            return self._entries
        # Expired entries may still answer, so they are tried before the seeds.
        entry_urls = self._entries + self._seeds
        for entry_url in entry_urls:
            session = self._session
            path = f"/v1/entries?zone={self._zone}&session={session}"
            url = entry_url + path
            status, content = await self._send("GET", url, None, 2000)
            if session and not self._session:
                # renew_session() ran during this request and restarted the
                # numbers. This response names the old session. With it, the new
                # numbers would repeat the ids of earlier requests.
                return await self.entries()
            if status == 200 and content["entries"]:
                self._entries = [entry["url"] for entry in content["entries"]]
                self._expires_at = now + content["keep_ms"]
                if not self._session:
                    self._session = content["session"]
                return self._entries
        return entry_urls

    async def renew_session(self) -> None:
        """Gets a new session from an entry in service.

        The daemon that issued a session is the arbiter of its runs, so a new
        session is needed when that daemon crashed, is leaving or is out of
        service.
        """
        self._expires_at = 0
        self._session = ""
        self._number = 0
        # The daemon that answers this may be out of service itself. The session
        # is taken from the second request, which goes to the first entry that
        # the answer lists as in service.
        entry_urls = await self.entries()
        self._seeds = [
            *entry_urls,
            *(seed for seed in self._seeds if seed not in entry_urls),
        ]
        self._expires_at = 0
        self._session = ""
        await self.entries()

    async def search(
        self,
        backend: str,
        query: str,
        deadline_ms: int = 2000,
        top: int = 10,
        total_timeout_ms: int = 10_000,
        entry: str = "",
    ) -> Outcome:
        """Sends a search and retries it under the same id until it is answered.

        Args:
          backend: Name of the back end.
          query: Words separated by spaces.
          deadline_ms: Deadline of one attempt.
          top: Maximum number of hits; 0 lists all.
          total_timeout_ms: An attempt that fails after this time isn't retried.
          entry: URL of the only entry to use; empty uses those of entries().
        """
        await self.entries()
        content = {
            "id": self.next_id(),
            "backend": backend,
            "query": query,
            "top": top,
            "deadline_ms": deadline_ms,
        }
        return await self._send_until_final(
            "/v1/search", content, total_timeout_ms, entry, is_run=False
        )

    async def run(
        self,
        backend: str,
        body: str,
        deadline_ms: int = 2000,
        total_timeout_ms: int = 10_000,
        entry: str = "",
    ) -> Outcome:
        """Sends a non-idempotent request and retries it under the same id.

        When the arbiter refuses it because its zone is out of service or its
        daemon is leaving, the request is sent under an id of a new session, at
        most `MAX_IDS_PER_RUN` ids in total. `body` is passed to the searcher.
        `total_timeout_ms` applies to each id separately. The other arguments
        are those of `search`.
        """
        await self.entries()
        for _ in range(MAX_IDS_PER_RUN):
            content = {
                "id": self.next_id(),
                "backend": backend,
                "body": body,
                "deadline_ms": deadline_ms,
            }
            outcome = await self._send_until_final(
                "/v1/run", content, total_timeout_ms, entry, is_run=True
            )
            if outcome.content.get("refused") not in NEW_ID_REFUSAL_KINDS:
                return outcome
            await self.renew_session()
        return outcome

    async def resend(self, path: str, content: dict) -> Outcome:
        """Sends an earlier request again under its id.

        Args:
          path: `/v1/search` or `/v1/run`.
          content: JSON body of the earlier request, with its id.
        """
        return await self._send_until_final(
            path, content, RESEND_TOTAL_TIMEOUT_MS, "", path == "/v1/run"
        )

    async def _send_until_final(
        self,
        path: str,
        content: dict,
        total_timeout_ms: int,
        entry: str,
        is_run: bool,
    ) -> Outcome:
        started_at = self._clock.now()
        timeout_at = started_at + total_timeout_ms
        attempts = 0
        while True:
            entry_urls = [entry] if entry else await self.entries()
            entry_url = entry_urls[attempts % len(entry_urls)]
            status, answer = await self._send(
                "POST", entry_url + path, content, content["deadline_ms"]
            )
            attempts += 1
            now = self._clock.now()
            outcome = Outcome(
                content["id"], status, answer, attempts, now - started_at
            )
            if _is_final(status, answer, is_run) or now >= timeout_at:
                return outcome
            pause_ms = answer.get("retry_after_ms") or RETRY_PAUSE_MS
            await asyncio.sleep(
                pause_ms * self._rng.uniform(0.5, 1.5) / clocks.MS_PER_S
            )

    async def _send(
        self, method: str, url: str, content: dict | None, deadline_ms: int
    ) -> tuple[int, dict]:
        body = orjson.dumps(content) if content else b""
        try:
            response = await self._client.request(
                method, url, self._key, body, deadline_ms + TIMEOUT_MARGIN_MS
            )
            return response.status, orjson.loads(response.body)
        except (OSError, EOFError, ValueError, httptools.HttpParserError):
            # Every failure counts as no response and is retried.
            return 0, {}


def _is_final(status: int, answer: dict, is_run: bool) -> bool:
    if status == 200:
        return True
    if status in (400, 401, 403, 413):
        return True
    if is_run and answer.get("refused") == "arbiter_gone":
        return True
    # The arbiter stores the refusal of a run that wasn't executed and returns
    # it to every retry under the same id.
    return is_run and answer.get("ran") == "no"
