"""Reads the store, on a few daemons that pass its contents to the others."""

import asyncio

from citrondoor import clock as clocks
from citrondoor import configuration
from citrondoor import errors
from citrondoor.entry import _decision_log
from citrondoor.entry import _messages
from citrondoor.entry import _peer_network
from citrondoor.entry import _view
from citrondoor.schema import serving

# A daemon whose view is based on an older read than this reads the store
# itself, since changes there must take effect within three seconds.
MAX_STORE_AGE_MS = 1700
# Minimum time from the start of a failed read to the next one; after a
# successful read it is `poll_ms`.
RETRY_INTERVAL_MS = 400
# Interval at which a daemon checks whether a read is due.
CHECK_INTERVAL_MS = 100
# Until the view is complete, a read starts this often: with 5 VMs that is 20
# reads/s, a hundredth of what the store allows.
FIRST_READ_INTERVAL_MS = 250
# Interval at which a daemon checks whether a read or a peer has completed its
# view.
FIRST_CHECK_INTERVAL_MS = 10
MAX_CONCURRENT_FIRST_READS = 4
# Up to this many VMs all make first reads; in a larger cluster only a few do
# and the others receive the store's contents from these.
MAX_VMS_ALL_READ = 64


class StorePoller:
    """Keeps the local view up to date with the store.

    Args:
      view: The local view, which each read updates.
      store: Reads the platform's store.
      peers: Other daemons, which read the store as well.
      settings: Settings of the daemon.
      clock: Clock of the daemon.
      log: Log of decisions.
    """

    __slots__ = (
        "_clock",
        "_is_store_lost",
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
        self._is_store_lost = False
        self.read_count = 0
        self.failure_count = 0

    async def run(self) -> None:
        """Reads the store while this daemon is a reader or its view is old."""
        await self._read_first()
        next_at = self._clock.now() + self._settings.poll_ms
        while True:
            now = self._clock.now()
            if now >= next_at and self._is_due(now):
                has_read = await self._read()
                interval_ms = (
                    self._settings.poll_ms if has_read else RETRY_INTERVAL_MS
                )
                next_at = now + interval_ms
            now = self._clock.now()
            self._view.end_carry_over(now - self._peers.store_age_ms(now), now)
            await asyncio.sleep(CHECK_INTERVAL_MS / clocks.MS_PER_S)

    async def _read_first(self) -> None:
        """Reads the store repeatedly until the view is complete.

        Reads run concurrently: waiting for one that hangs would delay the next
        one until its timeout, although the store may have recovered by then.
        """
        reads: set[asyncio.Task] = set()
        while not self._view.is_complete:
            if (
                len(reads) < MAX_CONCURRENT_FIRST_READS
                and self._may_read_first()
            ):
                task = asyncio.create_task(self._read())
                reads.add(task)
                task.add_done_callback(reads.discard)
            next_at = self._clock.now() + FIRST_READ_INTERVAL_MS
            while self._clock.now() < next_at and not self._view.is_complete:
                await asyncio.sleep(FIRST_CHECK_INTERVAL_MS / clocks.MS_PER_S)

    def _may_read_first(self) -> bool:
        """Returns whether to read, given the load that the store allows."""
        now = self._clock.now()
        live_vms = self._peers.live_vms()
        if len(live_vms) <= MAX_VMS_ALL_READ:
            return True
        silence_ms = self._peers.store_age_ms(now)
        return self._reader_selector.is_reader(
            live_vms, self._clock.unix_ms(), silence_ms
        )

    def _is_due(self, now: int) -> bool:
        if self._peers.store_age_ms(now) > MAX_STORE_AGE_MS:
            return True
        live_vms = self._peers.live_vms()
        return self._reader_selector.is_reader(
            live_vms, self._clock.unix_ms(), 0
        )

    async def _read(self) -> bool:
        self.read_count += 1
        started_at = self._clock.now()
        try:
            contents = await self._store.read()
            self._view.check_store_contents(contents)
        except errors.PlatformError as error:
            self._on_failure(error)
            return False
        now = self._clock.now()
        if self._is_store_lost:
            self._is_store_lost = False
            self._log.write(
                "store_regained",
                era=contents.position.era,
                revision=contents.position.revision,
            )
        self._peers.record_store_read(started_at, ended_at=now)
        self._view.apply_store_contents(contents, now)
        return True

    def _on_failure(self, error: errors.PlatformError) -> None:
        self.failure_count += 1
        if not self._is_store_lost:
            self._is_store_lost = True
            self._log.write(
                "store_lost",
                reason=str(error),
                store_era=self._view.position.era,
                upstream_revision=self._view.position.revision,
                route_version=self._view.routes.version,
            )
