"""Gets configuration from the platform and from peers into force."""

import asyncio
from collections.abc import Awaitable

from citrondoor import clock as clocks
from citrondoor import configuration
from citrondoor import declarations as declared
from citrondoor import errors
from citrondoor import links
from citrondoor.codecs import envelopes
from citrondoor.engine import _peering
from citrondoor.engine import _view
from citrondoor.schema import declarations
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

# How often a daemon looks whether it is its turn to read, in milliseconds.
TURN_CHECK_MS = 500
VM_LIST_EVERY_MS = 2000
FIRST_FAILURE_PAUSE_MS = 200
MAX_FAILURE_PAUSE_MS = 2000


class ConfigurationSynchronizer:
    """Watches the platform in turn and pulls what peers have.

    Args:
      view: What this daemon knows.
      store: Documents in force.
      platform: Reads the platform.
      peering: Links to peers.
      settings: Timing and number of readers.
    """

    __slots__ = (
        "_exchanging",
        "_last_problem",
        "_peering",
        "_platform",
        "_platform_revision",
        "_reader_selector",
        "_store",
        "_tasks",
        "_unreadable",
        "_view",
        "_vms_read_at",
        "rejected_count",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        store: configuration.Store,
        platform: links.PlatformClient,
        peering: _peering.Peering,
        settings: schema_settings.PlatformSettings,
    ):
        self._view = view
        self._store = store
        self._platform = platform
        # Highest revision that the platform showed, readable or not.
        self._platform_revision = 0
        self._peering = peering
        self._reader_selector = configuration.ReaderSelector(
            view.vm, settings.readers, settings.reader_epoch_ms
        )
        self._exchanging: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._unreadable: dict[str, int] = {}
        self._last_problem = ""
        self._vms_read_at = -VM_LIST_EVERY_MS
        self.rejected_count = 0
        peering.register(messages.ConfigRequest, self._on_request)
        peering.register(messages.ConfigAdvert, self._on_advert)
        peering.register(messages.ConfigDocuments, self._on_documents)
        peering.watch_revisions(self._revision, self._on_peer_revision)

    @property
    def store(self) -> configuration.Store:
        """Documents in force."""
        return self._store

    async def run(self) -> None:
        """Watches the platform whenever it is this daemon's turn."""
        pause_ms = FIRST_FAILURE_PAUSE_MS
        while True:
            if not self._is_reader():
                await asyncio.sleep(TURN_CHECK_MS / clocks.MS_PER_S)
                continue
            try:
                await self._read_once()
                pause_ms = FIRST_FAILURE_PAUSE_MS
            except errors.PlatformError as error:
                self._note_problem(str(error))
                await asyncio.sleep(pause_ms / clocks.MS_PER_S)
                pause_ms = min(MAX_FAILURE_PAUSE_MS, pause_ms * 2)

    async def pull(self, link: links.PeerLink) -> None:
        """Takes everything newer from one peer.

        Raises:
          errors.PeerUnreachableError: The peer does not reply.
        """
        asked_at = self._view.clock.now()
        request = messages.ConfigRequest(self._store.revision)
        body = await link.request(envelopes.wrap(request))
        reply = envelopes.unwrap(body)
        self._offer(reply.documents, f"peer {link.name}")
        self._view.pause_detector.confirm_view(asked_at, self._view.clock.now())

    def _is_reader(self) -> bool:
        now = self._view.clock.now()
        live = self._view.members.live_vms()
        if self._view.vm not in live:
            return True
        silence_ms = self._peering.platform_age_ms(now)
        return self._reader_selector.is_reader(
            live, self._view.clock.wall(), silence_ms
        )

    async def _read_once(self) -> None:
        asked_at = self._view.clock.now()
        if asked_at - self._vms_read_at >= VM_LIST_EVERY_MS:
            self._vms_read_at = asked_at
            listed = await self._platform.list_vms()
            self._view.members.apply_vm_list(listed.live, listed.leaving)
        asked_at = self._view.clock.now()
        known = max(self._store.revision, self._platform_revision)
        values = await self._platform.watch(known)
        now = self._view.clock.now()
        self._peering.note_platform_read(now)
        self._last_problem = ""
        for value in values:
            self._platform_revision = max(
                self._platform_revision, value.revision
            )
        documents = [d for d in map(self._parse, values) if d is not None]
        if documents:
            self._offer(documents, "platform")
        elif not values:
            self._view.pause_detector.confirm_view(asked_at, now)

    def _parse(self, value) -> declarations.Document | None:
        try:
            return declared.parse(value.key, value.revision, value.text)
        except errors.DocumentError as error:
            self._note_unreadable(value, str(error))
            return None

    def _note_unreadable(self, value, reason: str) -> None:
        # The same value is read again until a later one replaces it.
        if self._unreadable.get(value.key) != value.revision:
            self._unreadable[value.key] = value.revision
            self.rejected_count += 1
            self._view.recorder.record("configuration_rejected", reason)

    def _offer(
        self, documents: list[declarations.Document], source: str
    ) -> None:
        offer = self._store.offer(documents)
        if offer.problems:
            self.rejected_count += 1
            self._view.recorder.record(
                "configuration_rejected", str(offer.problems[0])
            )
        if not offer.accepted_keys:
            return
        self._view.recorder.record(
            "configuration_in_force",
            f"revision {self._store.revision} from {source}:"
            f" {', '.join(sorted(offer.accepted_keys))}",
        )
        self._view.set_catalogue(self._store.catalogue)
        self._advertise()

    def _advertise(self) -> None:
        advert = messages.ConfigAdvert(self._store.revision)
        neighbours = self._view.members.neighbours
        for vm in neighbours:
            if self._peering.link_to(vm) is not None:
                self._spawn(self._tell(vm, advert))

    async def _tell(self, vm: str, advert: messages.ConfigAdvert) -> None:
        try:
            reply = await self._peering.request(vm, advert)
            if reply.revision < self._store.revision:
                # Links go one way in a large fleet: the one that has it sends.
                await self._peering.request(
                    vm, self._newer_than(reply.revision)
                )
        except errors.CitrondoorError:
            # Heartbeats carry the revision again.
            pass

    def _newer_than(self, revision: int) -> messages.ConfigDocuments:
        return messages.ConfigDocuments(
            self._store.revision, self._store.changed_after(revision)
        )

    def _on_peer_revision(self, link: links.PeerLink, revision: int) -> None:
        if link.name in self._exchanging or revision == self._store.revision:
            return
        if revision > self._store.revision:
            exchange = self.pull(link)
        else:
            exchange = link.request(envelopes.wrap(self._newer_than(revision)))
        self._exchanging.add(link.name)
        self._spawn(self._exchange_quietly(link.name, exchange))

    async def _exchange_quietly(self, name: str, exchange: Awaitable) -> None:
        try:
            await exchange
        except errors.CitrondoorError:
            # The next heartbeat finds the difference again.
            pass
        finally:
            self._exchanging.discard(name)

    async def _on_request(
        self, request: messages.ConfigRequest, sender: str
    ) -> messages.ConfigDocuments:
        return self._newer_than(request.after)

    async def _on_documents(
        self, pushed: messages.ConfigDocuments, sender: str
    ) -> messages.ConfigAdvert:
        self._offer(pushed.documents, f"peer {sender}")
        return messages.ConfigAdvert(self._store.revision)

    async def _on_advert(
        self, advert: messages.ConfigAdvert, sender: str
    ) -> messages.ConfigAdvert:
        return messages.ConfigAdvert(self._store.revision)

    def _revision(self) -> int:
        return self._store.revision

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note_problem(self, reason: str) -> None:
        if reason != self._last_problem:
            self._last_problem = reason
            self._view.recorder.record("platform_unreadable", reason)
