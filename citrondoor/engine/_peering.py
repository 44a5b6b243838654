"""Links to peers, heartbeats, and the handlers of peers' requests."""

import asyncio
import functools
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import declarations as declared
from citrondoor import errors
from citrondoor import limits
from citrondoor import links
from citrondoor.codecs import envelopes
from citrondoor.engine import _view
from citrondoor.schema import declarations
from citrondoor.schema import messages
from citrondoor.schema import settings as schema_settings

# In a cluster of up to this many VMs each daemon keeps a link to every other
# one. In a larger cluster it keeps links to its neighbours only and opens
# others on demand.
MAX_FULL_MESH_VMS = 12
# On-demand links close after this time without a request.
IDLE_LINK_TIMEOUT_MS = 60_000
# Warm searchers that were last cold longer ago than this are not gossiped.
WARMED_UP_RETENTION_MS = 60_000
# Urgent updates that occur within this time are sent in one heartbeat.
URGENT_HEARTBEAT_DELAY_MS = 5


async def _refuse_unhandled(message, sender: str):
    raise errors.FrameError(
        f"{sender!r} asked {type(message).__name__}, which nobody answers; run"
        " compatible versions"
    )


class Peering:
    """Keeps links to peers and exchanges heartbeats and requests over them.

    Args:
      view: Local view of the cluster.
      warmup: Concurrency limits of cold searchers, gossiped with heartbeats.
      settings: Interval of heartbeats.
      link_settings: Settings common to all links.
      connector: Opens connections.
      seeds: Endpoints, `host:port`, that are dialled until the configuration
        declares VMs.
    """

    __slots__ = (
        "_connector",
        "_get_revision",
        "_handlers",
        "_link_settings",
        "_links",
        "_on_demand_used_at",
        "_on_revision",
        "_platform_read_at",
        "_seeds",
        "_settings",
        "_tasks",
        "_urgent_heartbeat_task",
        "_view",
        "_warmup",
        "protocol_error_count",
        "server",
    )

    def __init__(
        self,
        view: _view.ClusterView,
        warmup: limits.WarmupLimiter,
        settings: schema_settings.PeerSettings,
        link_settings: links.PeerSettings,
        connector,
        seeds: list[str],
    ):
        self._view = view
        self._warmup = warmup
        self._settings = settings
        self._link_settings = link_settings
        self._connector = connector
        self._seeds = seeds
        self._links: dict[str, links.PeerLink] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        # Time of the last request on each on-demand link, by VM.
        self._on_demand_used_at: dict[str, int] = {}
        self._handlers = functools.singledispatch(_refuse_unhandled)
        self._handlers.register(messages.Heartbeat, self._on_heartbeat)
        self._handlers.register(messages.EventsRequest, self._on_events)
        self._on_revision: Callable[[links.PeerLink, int], None] | None = None
        self._get_revision: Callable[[], int] = int
        self._platform_read_at: int | None = None
        self._urgent_heartbeat_task: asyncio.Future | None = None
        self.protocol_error_count = 0
        self.server = links.PeerServer(
            link_settings, self._handle_request, self._on_protocol_error
        )

    @property
    def reachable_peers(self) -> list[str]:
        """Keys of the connected links, which `request` accepts.

        These are names of VMs, or `seed/HOST:PORT` until VMs are declared.
        """
        return [n for n, link in self._links.items() if link.is_connected]

    @property
    def byte_count(self) -> int:
        """Bytes sent and received.

        Covers the current links to peers and all links from peers, including
        those that were closed.
        """
        outbound_bytes = sum(
            link.bytes_sent + link.bytes_received
            for link in self._links.values()
        )
        return (
            outbound_bytes + self.server.bytes_sent + self.server.bytes_received
        )

    def register(self, kind: type, handler) -> None:
        """Registers an async function as the handler of one request type.

        The function takes the message and the sender's name and returns the
        reply.
        """
        self._handlers.register(kind, handler)

    def set_revision_callbacks(
        self,
        get_revision: Callable[[], int],
        on_revision: Callable[[links.PeerLink, int], None],
    ) -> None:
        """Sets the callbacks that exchange configuration revisions.

        Args:
          get_revision: Returns this daemon's revision, for heartbeats.
          on_revision: Called with the link and the peer's revision after each
            heartbeat that the peer acknowledged.
        """
        self._get_revision = get_revision
        self._on_revision = on_revision

    def may_reach(self, vm: str) -> bool:
        """Returns whether a request to a peer may reach it.

        A permanent link must be connected. Otherwise the peer must be alive
        according to the local view, as the request opens a link on demand.
        """
        link = self._links.get(vm)
        if link is not None and vm not in self._on_demand_used_at:
            return link.is_connected
        return vm in self._view.members.live_vms()

    def link_to(self, vm: str) -> links.PeerLink | None:
        """Returns the link to a peer, or None if it is not connected."""
        link = self._links.get(vm)
        return link if link is not None and link.is_connected else None

    async def request(self, vm: str, message, timeout_ms: int = 0):
        """Sends a request to a peer and returns the reply.

        Raises:
          errors.PeerUnreachableError: The VM is not declared or the peer did
            not reply.
          errors.PeerRefusedError: The peer refused the request.
        """
        link = self._links.get(vm) or self._open_on_demand_link(vm)
        if vm in self._on_demand_used_at:
            self._on_demand_used_at[vm] = self._view.clock.now()
            await link.wait_connected()
        reply = await link.request(envelopes.wrap(message), timeout_ms)
        return envelopes.unwrap(reply)

    def _open_on_demand_link(self, vm: str) -> links.PeerLink:
        declared_vm = self._view.catalogue.vms.get(vm)
        if declared_vm is None:
            raise errors.PeerUnreachableError(
                f"{vm!r} is no declared VM; check `vms`"
            )
        self._on_demand_used_at[vm] = self._view.clock.now()
        return self._open_link(
            vm, vm, declared_vm.address, declared_vm.peer_port
        )

    def connect(self) -> None:
        """Dials the seeds."""
        for seed in self._seeds:
            host, _, seed_port = seed.rpartition(":")
            self._open_link(f"seed/{seed}", "", host, int(seed_port))

    async def close(self) -> None:
        """Closes all links and stops listening."""
        for task in self._tasks.values():
            task.cancel()
        for link in self._links.values():
            link.close()
        await self.server.close()

    def set_catalogue(self, catalogue: declared.Catalogue) -> None:
        """Updates the members and the links to match the declared VMs."""
        now = self._view.clock.now()
        members = self._view.members
        members.set_declared(list(catalogue.vms), catalogue.vms_revision, now)
        if catalogue.vms:
            for name in [n for n in self._links if n.startswith("seed/")]:
                self._close_link(name)
        for vm in self._permanent_peers(catalogue):
            self._on_demand_used_at.pop(vm.name, None)
            link = self._links.get(vm.name)
            if link is not None and link.endpoint == (vm.address, vm.peer_port):
                continue
            if link is not None:
                self._close_link(vm.name)
            self._open_link(vm.name, vm.name, vm.address, vm.peer_port)
        for name in list(self._links):
            if name not in catalogue.vms and not name.startswith("seed/"):
                self._close_link(name)

    def _permanent_peers(
        self, catalogue: declared.Catalogue
    ) -> list[declarations.Vm]:
        """Returns the VMs to which this daemon always keeps a link."""
        if len(catalogue.vms) <= MAX_FULL_MESH_VMS:
            names = [n for n in catalogue.vms if n != self._view.vm]
        else:
            names = self._view.members.neighbours
        return [catalogue.vms[name] for name in names]

    def _close_idle_links(self, now: int) -> None:
        for name, used_at in list(self._on_demand_used_at.items()):
            if now - used_at > IDLE_LINK_TIMEOUT_MS:
                self._close_link(name)

    def record_platform_read(self, now: int) -> None:
        """Records that this daemon has just read the platform."""
        self._platform_read_at = now

    def platform_age_ms(self, now: int) -> int:
        """Returns the time since any daemon last read the platform.

        Daemons gossip this age with heartbeats. Before the first read that
        this daemon knows of, it is 2^40 ms (35 years).
        """
        if self._platform_read_at is None:
            return 1 << 40
        return now - self._platform_read_at

    def tick(self, now: int) -> None:
        """Applies the timeouts of members, warm-up and idle links."""
        self._close_idle_links(now)
        self._view.members.tick(now)
        self._warmup.set_live_vms(self._view.members.live_vms(), now)
        self._warmup.forget_warm_before(
            self._view.clock.unix_ms() - WARMED_UP_RETENTION_MS
        )

    def send_heartbeats_soon(self) -> None:
        """Schedules heartbeats to all neighbours, for urgent updates."""
        if (
            self._urgent_heartbeat_task is None
            or self._urgent_heartbeat_task.done()
        ):
            self._urgent_heartbeat_task = asyncio.ensure_future(
                self._send_urgent_heartbeats()
            )

    async def _send_urgent_heartbeats(self) -> None:
        await asyncio.sleep(URGENT_HEARTBEAT_DELAY_MS / clocks.MS_PER_S)
        neighbour_links = [
            self.link_to(vm) for vm in self._view.members.neighbours
        ]
        await asyncio.gather(
            *(
                self.exchange_heartbeat(link)
                for link in neighbour_links
                if link is not None
            ),
            return_exceptions=True,
        )

    async def exchange_heartbeat(self, link: links.PeerLink) -> None:
        """Sends one heartbeat and merges the updates of its reply.

        Raises:
          errors.PeerUnreachableError: The peer did not reply.
        """
        requested_at = self._view.clock.now()
        members = self._view.members
        heartbeat = messages.Heartbeat(
            sender=members.own_record(),
            news=members.next_updates(link.name),
            platform_age_ms=self.platform_age_ms(requested_at),
            levels=self._warmup.next_updates(),
            joining=len(members.all_members) == 1,
            config_revision=self._get_revision(),
        )
        body = await link.request(envelopes.wrap(heartbeat))
        ack = envelopes.unwrap(body)
        now = self._view.clock.now()
        members.on_heartbeat(ack.sender, ack.news, now)
        self._warmup.merge_levels(ack.levels, now)
        self._merge_platform_age(ack.platform_age_ms, now)
        if ack.config_revision <= self._get_revision():
            self._view.pause_detector.confirm_view(requested_at, now)
        self._on_revision(link, ack.config_revision)

    def _open_link(
        self, key: str, name: str, address: str, port: int
    ) -> links.PeerLink:
        link = links.PeerLink(
            name,
            address,
            port,
            self._link_settings,
            self._connector,
            self._view.recorder.record,
        )
        self._links[key] = link
        link.start()
        self._tasks[key] = asyncio.create_task(self._send_heartbeats(key, link))
        return link

    def _close_link(self, key: str) -> None:
        self._on_demand_used_at.pop(key, None)
        self._tasks.pop(key).cancel()
        self._links.pop(key).close()

    async def _send_heartbeats(self, key: str, link: links.PeerLink) -> None:
        interval_s = self._settings.heartbeat_ms / clocks.MS_PER_S
        while True:
            is_neighbour = key in self._view.members.neighbours
            if link.is_connected and (is_neighbour or key.startswith("seed/")):
                try:
                    await self.exchange_heartbeat(link)
                except errors.CitrondoorError:
                    # Members.tick suspects neighbours that stay silent.
                    pass
            await asyncio.sleep(interval_s)

    async def _handle_request(
        self, sender: str, body: messages.Body
    ) -> messages.Body:
        message = envelopes.unwrap(body)
        return envelopes.wrap(await self._handlers(message, sender))

    async def _on_heartbeat(
        self, heartbeat: messages.Heartbeat, sender: str
    ) -> messages.HeartbeatAck:
        now = self._view.clock.now()
        members = self._view.members
        members.on_heartbeat(heartbeat.sender, heartbeat.news, now)
        self._warmup.merge_levels(heartbeat.levels, now)
        self._merge_platform_age(heartbeat.platform_age_ms, now)
        is_joining = heartbeat.joining
        if is_joining:
            updates = members.take_all_members(sender)
        else:
            updates = members.next_updates(sender)
        warmup = self._warmup
        searcher_levels = (
            warmup.all_levels() if is_joining else warmup.next_updates()
        )
        return messages.HeartbeatAck(
            sender=members.own_record(),
            news=updates,
            platform_age_ms=self.platform_age_ms(now),
            levels=searcher_levels,
            config_revision=self._get_revision(),
        )

    async def _on_events(
        self, request: messages.EventsRequest, sender: str
    ) -> messages.Events:
        return messages.Events(
            self._view.recorder.events_after(request.after_wall_ms)
        )

    def _merge_platform_age(self, age_ms: int, now: int) -> None:
        read_at = now - age_ms
        if self._platform_read_at is None or read_at > self._platform_read_at:
            self._platform_read_at = read_at

    def _on_protocol_error(self) -> None:
        self.protocol_error_count += 1
