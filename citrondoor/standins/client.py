"""Stand-in of a caller: asks for entries, sends, and retries by the same id."""

import asyncio
import random

import httptools
import orjson

from citrondoor import clock as clocks
from citrondoor.standins import http_client

# A caller gives up on one attempt this long after its deadline.
EXTRA_WAIT_MS = 1000
RETRY_PAUSE_MS = 50
# Refusals after which a run goes to another arbiter, under a new id.
MOVE_ON_KINDS = ("zone_out", "leaving")
MAX_NEW_IDS = 5
RESOLVE_TOTAL_TIMEOUT_MS = 10_000


class Outcome:
    """What a caller has got in the end.

    Args:
      request_id: Id of the request.
      status: HTTP status; 0 when no entry answered.
      content: JSON body.
      attempts: How often it was sent.
      latency_ms: Time from the first attempt.
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
        """Whether the caller holds a word that the request was counted."""
        receipt = self.content.get("receipt")
        return receipt is not None and receipt["counted"]


class Caller:
    """One caller of one customer.

    Args:
      seeds: URLs of entries to ask first.
      key: Key of the customer.
      zone: Zone of the caller; empty when it has none.
      rng: Random source.
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
        """The session of the last answer of /v1/entries."""
        return self._session

    async def close(self) -> None:
        """Closes the connections."""
        self._client.close()

    def next_id(self) -> str:
        """Returns a new request id; needs entries."""
        self._number += 1
        return f"{self._session}.{self._number}"

    async def entries(self) -> list[str]:
        """Returns the entries to use, asked anew when the answer expired."""
        now = self._clock.now()
        if self._entries and now < self._expires_at:
            return self._entries
        # An expired answer still names places where one can ask.
        places = self._entries + self._seeds
        for place in places:
            session = self._session
            path = f"/v1/entries?zone={self._zone}&session={session}"
            url = place + path
            status, content = await self._send("GET", url, None, 2000)
            if session and not self._session:
                # The session was given up while this was asked. Its numbers
                # start anew: ids of the old one would name other requests.
                return await self.entries()
            if status == 200 and content["entries"]:
                self._entries = [e["url"] for e in content["entries"]]
                self._expires_at = now + content["keep_ms"]
                if not self._session:
                    self._session = content["session"]
                return self._entries
        return places

    async def renew_session(self) -> None:
        """Takes a new session, for instance after an arbiter is gone."""
        self._expires_at = 0
        self._session = ""
        self._number = 0
        # The first entry named is in service; it gives the session.
        places = await self.entries()
        self._seeds = [*places, *(s for s in self._seeds if s not in places)]
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
        """Searches; sends the same id again until it is answered.

        Args:
          backend: Name of the back end.
          query: The query.
          deadline_ms: Time for one attempt.
          top: Hits wanted; 0 lists all.
          total_timeout_ms: Time for all attempts.
          entry: URL of the one entry to use; empty lets the fleet choose.
        """
        await self.entries()
        content = {
            "id": self.next_id(),
            "backend": backend,
            "query": query,
            "top": top,
            "deadline_ms": deadline_ms,
        }
        return await self._persist(
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
        """Runs a non-idempotent request; repeats keep the same id.

        What was refused as not run by an arbiter out of service is sent under
        a new id.
        """
        await self.entries()
        for _ in range(MAX_NEW_IDS):
            content = {
                "id": self.next_id(),
                "backend": backend,
                "body": body,
                "deadline_ms": deadline_ms,
            }
            outcome = await self._persist(
                "/v1/run", content, total_timeout_ms, entry, is_run=True
            )
            if outcome.content.get("refused") not in MOVE_ON_KINDS:
                return outcome
            await self.renew_session()
        return outcome

    async def ask_again(self, path: str, content: dict) -> Outcome:
        """Sends an earlier request again, under its id."""
        return await self._persist(
            path, content, RESOLVE_TOTAL_TIMEOUT_MS, "", path == "/v1/run"
        )

    async def _persist(
        self,
        path: str,
        content: dict,
        total_timeout_ms: int,
        entry: str,
        is_run: bool,
    ) -> Outcome:
        started_at = self._clock.now()
        until = started_at + total_timeout_ms
        attempts = 0
        while True:
            places = [entry] if entry else await self.entries()
            place = places[attempts % len(places)]
            status, answer = await self._send(
                "POST", place + path, content, content["deadline_ms"]
            )
            attempts += 1
            now = self._clock.now()
            outcome = Outcome(
                content["id"], status, answer, attempts, now - started_at
            )
            if _is_final(status, answer, is_run) or now >= until:
                return outcome
            pause_ms = answer.get("retry_after_ms") or RETRY_PAUSE_MS
            await asyncio.sleep(
                pause_ms * self._rng.uniform(0.5, 1.5) / clocks.MS_PER_S
            )

    async def _send(
        self, method: str, url: str, content: dict | None, wait_ms: int
    ) -> tuple[int, dict]:
        body = orjson.dumps(content) if content else b""
        try:
            response = await self._client.request(
                method, url, self._key, body, wait_ms + EXTRA_WAIT_MS
            )
            return response.status, orjson.loads(response.body)
        except (OSError, EOFError, ValueError, httptools.HttpParserError):
            # A caller treats every failure of a send alike.
            return 0, {}


def _is_final(status: int, answer: dict, is_run: bool) -> bool:
    if status == 200:
        return True
    if status in (400, 401, 403, 413):
        return True
    if is_run and answer.get("refused") == "arbiter_gone":
        return True
    # A sealed refusal of a run stays the same under this id.
    return is_run and answer.get("ran") == "no"
