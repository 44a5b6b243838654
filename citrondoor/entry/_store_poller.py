"""Reads the store, on as few daemons as keep the others informed."""

import asyncio

from citrondoor import clock as clocks
from citrondoor import configuration
from citrondoor import errors
from citrondoor.entry import _decision_log
from citrondoor.entry import _messages
from citrondoor.entry import _peer_network
from citrondoor.entry import _view
from citrondoor.schema import serving

# A daemon that does not hear of a reading for this long reads itself: what the
# store says must act within three seconds.
STALE_MS = 1700
# After a failed reading the next one follows sooner than an ordinary one.
RETRY_MS = 400
CHECK_MS = 100
# Until there is a view, a reading starts this often; 5 VMs start 20 a second,
# a hundredth of what the store allows.
FIRST_READ_MS = 250
FIRST_CHECK_MS = 10
MAX_FIRST_READS = 4
# In a larger fleet a few read, and the others learn from them.
ALL_READ_VMS = 64


class StorePoller:
    """Keeps the view current.

    Args:
      view: What is believed.
      store: The platform's store.
      peers: Other daemons.
      settings: Timing.
      clock: Clock of the daemon.
      log: Log of decisions.
    """

    __slots__ = (
        "_clock",
        "_is_lost",
        "_log",
        "_peers",
        "_reader_selector",
        "_settings",
        "_store",
        "_view",
        "failure_count",
        "read_count",
    )

    def __init__(
        self,
        view: _view.LocalView,
        store: _messages.Store,
        peers: _peer_network.PeerNetwork,
        settings: serving.EntrySettings,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ):
        self._view = view
        self._store = store
        self._peers = peers
        self._settings = settings.store
        self._clock = clock
        self._log = log
        self._reader_selector = configuration.ReaderSelector(
            settings.vm,
            settings.store.readers,
            settings.store.reader_epoch_ms,
        )
        self._is_lost = False
        self.read_count = 0
        self.failure_count = 0

    async def run(self) -> None:
        """Reads whenever it is this daemon's turn."""
        await self._read_first()
        next_at = self._clock.now() + self._settings.poll_ms
        while True:
            now = self._clock.now()
            if now >= next_at and self._is_due(now):
                is_read = await self._read()
                pause_ms = self._settings.poll_ms if is_read else RETRY_MS
                next_at = now + pause_ms
            await asyncio.sleep(CHECK_MS / clocks.MS_PER_S)

    async def _read_first(self) -> None:
        """Reads until there is a view; a store that is silent costs no time.

        Readings overlap: one that hangs would delay the next one beyond the
        return of the store.
        """
        readings: set[asyncio.Task] = set()
        while not self._view.is_complete:
            if len(readings) < MAX_FIRST_READS and self._may_read_first():
                task = asyncio.create_task(self._read())
                readings.add(task)
                task.add_done_callback(readings.discard)
            until = self._clock.now() + FIRST_READ_MS
            while self._clock.now() < until and not self._view.is_complete:
                await asyncio.sleep(FIRST_CHECK_MS / clocks.MS_PER_S)

    def _may_read_first(self) -> bool:
        """Returns whether the store bears a reading of this daemon as well."""
        now = self._clock.now()
        live = self._peers.live_vms()
        if len(live) <= ALL_READ_VMS:
            return True
        silence_ms = self._peers.store_age_ms(now)
        return self._reader_selector.is_reader(
            live, self._clock.wall(), silence_ms
        )

    def _is_due(self, now: int) -> bool:
        if self._peers.store_age_ms(now) > STALE_MS:
            return True
        live = self._peers.live_vms()
        return self._reader_selector.is_reader(live, self._clock.wall(), 0)

    async def _read(self) -> bool:
        self.read_count += 1
        try:
            reading = await self._store.read()
        except errors.PlatformError as error:
            self._on_failure(error)
            return False
        now = self._clock.now()
        if self._is_lost:
            self._is_lost = False
            self._log.write("store_regained", revision=reading.revision)
        self._peers.record_store_read(now)
        self._view.take_reading(reading, now)
        return True

    def _on_failure(self, error: errors.PlatformError) -> None:
        self.failure_count += 1
        if not self._is_lost:
            self._is_lost = True
            self._log.write(
                "store_lost",
                reason=str(error),
                upstream_revision=self._view.registry.revision,
                route_version=self._view.routes.version,
            )
