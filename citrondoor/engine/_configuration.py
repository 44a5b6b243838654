"""Synchronizes the configuration from the platform and between daemons."""

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

# Interval at which a daemon checks whether it is selected as a reader.
READER_CHECK_INTERVAL_MS = 500
VM_LIST_INTERVAL_MS = 2000
INITIAL_RETRY_DELAY_MS = 200
MAX_RETRY_DELAY_MS = 2000


class ConfigurationSynchronizer:
    """Reads the platform while this daemon is a reader; syncs with peers.

    Only a few daemons read the platform at a time. A daemon that accepts
    documents, from the platform or from a peer, sends its new revision to its
    neighbours and the documents to those that have an older revision.
    Heartbeats carry the revision too, so a lost message only delays this.

    Args:
      view: Local view of the cluster.
      store: Active and pending documents.
      platform: Client of the platform.
      peering: Links to peers.
      settings: Number of readers and length of their epochs.
    """

    __slots__ = (
        "_exchanging_peers",
        "_last_platform_error",
        "_last_platform_revision",
        "_peering",
        "_platform",
        "_reader_selector",
        "_store",
        "_tasks",
        "_unparseable_revisions",
        "_view",
        "_vm_list_read_at",
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
        # Highest revision read from the platform, including values that could
        # not be parsed, so that the platform does not return these again.
        self._last_platform_revision = 0
        self._peering = peering
        self._reader_selector = configuration.ReaderSelector(
            view.vm, settings.readers, settings.reader_epoch_ms
        )
        self._exchanging_peers: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._unparseable_revisions: dict[str, int] = {}
        self._last_platform_error = ""
        self._vm_list_read_at = -VM_LIST_INTERVAL_MS
        self.rejected_count = 0
        peering.register(messages.ConfigRequest, self._on_request)
        peering.register(messages.ConfigAdvert, self._on_advert)
        peering.register(messages.ConfigDocuments, self._on_documents)
        peering.set_revision_callbacks(
            self._current_revision, self._on_peer_revision
        )

    @property
    def store(self) -> configuration.Store:
        """Active and pending documents."""
        return self._store

    async def run(self) -> None:
        """Watches the platform while this daemon is selected as a reader."""
        retry_delay_ms = INITIAL_RETRY_DELAY_MS
        while True:
            if not self._is_reader():
                await asyncio.sleep(READER_CHECK_INTERVAL_MS / clocks.MS_PER_S)
                continue
            try:
                await self._read_once()
                retry_delay_ms = INITIAL_RETRY_DELAY_MS
            except errors.PlatformError as error:
                self._record_platform_error(str(error))
                await asyncio.sleep(retry_delay_ms / clocks.MS_PER_S)
                retry_delay_ms = min(MAX_RETRY_DELAY_MS, retry_delay_ms * 2)

    async def pull(self, link: links.PeerLink) -> None:
        """Requests and applies all documents that are newer on one peer.

        Raises:
          errors.PeerUnreachableError: The peer did not reply.
        """
        requested_at = self._view.clock.now()
        request = messages.ConfigRequest(self._store.revision)
        body = await link.request(envelopes.wrap(request))
        reply = envelopes.unwrap(body)
        self._apply_documents(reply.documents, f"peer {link.name}")
        self._view.pause_detector.confirm_view(
            requested_at, self._view.clock.now()
        )

    def _is_reader(self) -> bool:
        now = self._view.clock.now()
        live = self._view.members.live_vms()
        if self._view.vm not in live:
            return True
        read_age_ms = self._peering.platform_age_ms(now)
        return self._reader_selector.is_reader(
            live, self._view.clock.unix_ms(), read_age_ms
        )

    async def _read_once(self) -> None:
        requested_at = self._view.clock.now()
        if requested_at - self._vm_list_read_at >= VM_LIST_INTERVAL_MS:
            self._vm_list_read_at = requested_at
            vm_list = await self._platform.list_vms()
            self._view.members.apply_vm_list(vm_list.live, vm_list.leaving)
        requested_at = self._view.clock.now()
        last_revision = max(self._store.revision, self._last_platform_revision)
        values = await self._platform.watch(last_revision)
        now = self._view.clock.now()
        self._peering.record_platform_read(now)
        self._last_platform_error = ""
        for value in values:
            self._last_platform_revision = max(
                self._last_platform_revision, value.revision
            )
        documents = [d for d in map(self._parse, values) if d is not None]
        if documents:
            self._apply_documents(documents, "platform")
        elif not values:
            self._view.pause_detector.confirm_view(requested_at, now)

    def _parse(self, value) -> declarations.Document | None:
        try:
            return declared.parse(value.key, value.revision, value.text)
        except errors.DocumentError as error:
            self._record_unparseable(value, str(error))
            return None

    def _record_unparseable(self, value, reason: str) -> None:
        # Records each revision of a key once, also when the platform returns
        # the value again.
        if self._unparseable_revisions.get(value.key) != value.revision:
            self._unparseable_revisions[value.key] = value.revision
            self.rejected_count += 1
            self._view.recorder.record("configuration_rejected", reason)

    def _apply_documents(
        self, documents: list[declarations.Document], source: str
    ) -> None:
        result = self._store.offer(documents)
        if result.problems:
            self.rejected_count += 1
            self._view.recorder.record(
                "configuration_rejected", str(result.problems[0])
            )
        if not result.accepted_keys:
            return
        self._view.recorder.record(
            "configuration_in_force",
            f"revision {self._store.revision} from {source}:"
            f" {', '.join(sorted(result.accepted_keys))}",
        )
        self._view.set_catalogue(self._store.catalogue)
        self._advertise_revision()

    def _advertise_revision(self) -> None:
        advert = messages.ConfigAdvert(self._store.revision)
        neighbours = self._view.members.neighbours
        for vm in neighbours:
            if self._peering.link_to(vm) is not None:
                self._spawn(self._send_advert(vm, advert))

    async def _send_advert(
        self, vm: str, advert: messages.ConfigAdvert
    ) -> None:
        try:
            reply = await self._peering.request(vm, advert)
            if reply.revision < self._store.revision:
                # In a large cluster the peer may have no link to this daemon
                # to pull over, so the documents are pushed.
                await self._peering.request(
                    vm, self._documents_after(reply.revision)
                )
        except errors.CitrondoorError:
            # The next heartbeat carries the revision to the peer again.
            pass

    def _documents_after(self, revision: int) -> messages.ConfigDocuments:
        return messages.ConfigDocuments(
            self._store.revision, self._store.changed_after(revision)
        )

    def _on_peer_revision(self, link: links.PeerLink, revision: int) -> None:
        if (
            link.name in self._exchanging_peers
            or revision == self._store.revision
        ):
            return
        if revision > self._store.revision:
            exchange = self.pull(link)
        else:
            exchange = link.request(
                envelopes.wrap(self._documents_after(revision))
            )
        self._exchanging_peers.add(link.name)
        self._spawn(self._exchange_ignoring_errors(link.name, exchange))

    async def _exchange_ignoring_errors(
        self, name: str, exchange: Awaitable
    ) -> None:
        try:
            await exchange
        except errors.CitrondoorError:
            # The next heartbeat starts the exchange again if revisions differ.
            pass
        finally:
            self._exchanging_peers.discard(name)

    async def _on_request(
        self, request: messages.ConfigRequest, sender: str
    ) -> messages.ConfigDocuments:
        return self._documents_after(request.after)

    async def _on_documents(
        self, pushed: messages.ConfigDocuments, sender: str
    ) -> messages.ConfigAdvert:
        self._apply_documents(pushed.documents, f"peer {sender}")
        return messages.ConfigAdvert(self._store.revision)

    async def _on_advert(
        self, advert: messages.ConfigAdvert, sender: str
    ) -> messages.ConfigAdvert:
        return messages.ConfigAdvert(self._store.revision)

    def _current_revision(self) -> int:
        return self._store.revision

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_platform_error(self, reason: str) -> None:
        if reason != self._last_platform_error:
            self._last_platform_error = reason
            self._view.recorder.record("platform_unreadable", reason)
