"""Links to all peers, heartbeats, and the registry of peers' questions."""

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

# Up to this many VMs every daemon keeps a link to every other one; in a larger
# fleet to its neighbours, and to others while it needs them.
MESH_VMS = 12
# A link that was opened for a question closes after this time without one.
IDLE_LINK_MS = 60_000
# Searchers that warmed up longer ago than this are not mentioned any more.
LEVEL_MEMORY_MS = 60_000
# Urgent news of about this time leave in one heartbeat, in milliseconds.
URGENT_HEARTBEATS_MS = 5


async def _refuse_unknown(message, sender: str):
    raise errors.FrameError(
        f"{sender!r} asked {type(message).__name__}, which nobody answers; run"
        " compatible versions"
    )


class Peering:
    """Keeps the links up and exchanges heartbeats.

    Args:
      view: What this daemon knows.
      warmup: Levels of cold searchers, spread with heartbeats.
      settings: Timing.
      link_settings: What every link needs.
      connector: Opens connections.
      seeds: Places to ask before the first configuration is known.
    """

    __slots__ = (
        "_connector",
        "_link_settings",
        "_links",
        "_on_revision",
        "_platform_read_at",
        "_registry",
        "_revision_of",
        "_seeds",
        "_settings",
        "_tasks",
        "_urgent_heartbeats",
        "_used_at",
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
        # When links that were opened for a question were used last.
        self._used_at: dict[str, int] = {}
        self._registry = functools.singledispatch(_refuse_unknown)
        self._registry.register(messages.Heartbeat, self._on_heartbeat)
        self._registry.register(messages.EventsRequest, self._on_events)
        self._on_revision: Callable[[links.PeerLink, int], None] | None = None
        self._revision_of: Callable[[], int] = int
        self._platform_read_at: int | None = None
        self._urgent_heartbeats: asyncio.Future | None = None
        self.protocol_error_count = 0
        self.server = links.PeerServer(
            link_settings, self._answer, self._on_protocol_error
        )

    @property
    def reachable_peers(self) -> list[str]:
        """Names of peers whose link is up."""
        return [n for n, link in self._links.items() if link.is_connected]

    @property
    def byte_count(self) -> int:
        """Bytes sent and received on all links."""
        dialed = sum(
            link.bytes_sent + link.bytes_received
            for link in self._links.values()
        )
        return dialed + self.server.bytes_sent + self.server.bytes_received

    def register(self, kind: type, handler) -> None:
        """Answers questions of one kind with an async function.

        The function takes the message and the sender's name.
        """
        self._registry.register(kind, handler)

    def watch_revisions(
        self,
        revision_of: Callable[[], int],
        on_revision: Callable[[links.PeerLink, int], None],
    ) -> None:
        """Tells of each peer's configuration revision.

        Args:
          revision_of: Returns this daemon's revision.
          on_revision: Called with the link and the peer's revision.
        """
        self._revision_of = revision_of
        self._on_revision = on_revision

    def can_ask(self, vm: str) -> bool:
        """Returns whether a question to a peer may reach it."""
        link = self._links.get(vm)
        if link is not None and vm not in self._used_at:
            return link.is_connected
        return vm in self._view.members.live_vms()

    def link_to(self, vm: str) -> links.PeerLink | None:
        """Returns the link to a peer, if it is up."""
        link = self._links.get(vm)
        return link if link is not None and link.is_connected else None

    async def request(self, vm: str, message, timeout_ms: int = 0):
        """Returns a peer's reply to a message.

        Raises:
          errors.PeerUnreachableError: The peer does not reply.
          errors.PeerRefusedError: The peer refused the question.
        """
        link = self._links.get(vm) or self._open_for_questions(vm)
        if vm in self._used_at:
            self._used_at[vm] = self._view.clock.now()
            await link.wait_connected()
        reply = await link.request(envelopes.wrap(message), timeout_ms)
        return envelopes.unwrap(reply)

    def _open_for_questions(self, vm: str) -> links.PeerLink:
        found = self._view.catalogue.vms.get(vm)
        if found is None:
            raise errors.PeerUnreachableError(
                f"{vm!r} is no declared VM; check `vms`"
            )
        self._used_at[vm] = self._view.clock.now()
        return self._open(vm, vm, found.address, found.peer_port)

    async def start(self, address: str, port: int) -> None:
        """Listens for peers and dials the seeds."""
        await self.server.start(address, port)
        for seed in self._seeds:
            host, _, seed_port = seed.rpartition(":")
            self._open(f"seed/{seed}", "", host, int(seed_port))

    async def close(self) -> None:
        """Ends all links."""
        for task in self._tasks.values():
            task.cancel()
        for link in self._links.values():
            link.close()
        await self.server.close()

    def set_catalogue(self, catalogue: declared.Catalogue) -> None:
        """Takes the VMs in force: opens and closes links."""
        now = self._view.clock.now()
        members = self._view.members
        members.set_declared(list(catalogue.vms), catalogue.vms_revision, now)
        if catalogue.vms:
            for name in [n for n in self._links if n.startswith("seed/")]:
                self._drop(name)
        for vm in self._permanent(catalogue):
            self._used_at.pop(vm.name, None)
            link = self._links.get(vm.name)
            if link is not None and link.endpoint == (vm.address, vm.peer_port):
                continue
            if link is not None:
                self._drop(vm.name)
            self._open(vm.name, vm.name, vm.address, vm.peer_port)
        for name in list(self._links):
            if name not in catalogue.vms and not name.startswith("seed/"):
                self._drop(name)

    def _permanent(
        self, catalogue: declared.Catalogue
    ) -> list[declarations.Vm]:
        """Returns the VMs to which a link is kept."""
        if len(catalogue.vms) <= MESH_VMS:
            names = [n for n in catalogue.vms if n != self._view.vm]
        else:
            names = self._view.members.neighbours
        return [catalogue.vms[name] for name in names]

    def _drop_idle(self, now: int) -> None:
        for name, used_at in list(self._used_at.items()):
            if now - used_at > IDLE_LINK_MS:
                self._drop(name)

    def note_platform_read(self, now: int) -> None:
        """Notes that this daemon has read the platform."""
        self._platform_read_at = now

    def platform_age_ms(self, now: int) -> int:
        """Returns the age of the newest reading known in the fleet."""
        if self._platform_read_at is None:
            return 1 << 40
        return now - self._platform_read_at

    def tick(self, now: int) -> None:
        """Moves suspicions on, takes who is alive, closes idle links."""
        self._drop_idle(now)
        self._view.members.tick(now)
        self._warmup.set_members(self._view.members.live_vms(), now)
        self._warmup.forget_warm_before(
            self._view.clock.wall() - LEVEL_MEMORY_MS
        )

    def send_heartbeats_soon(self) -> None:
        """Sends heartbeats soon: there is news that cannot wait."""
        if self._urgent_heartbeats is None or self._urgent_heartbeats.done():
            self._urgent_heartbeats = asyncio.ensure_future(
                self._beat_all_soon()
            )

    async def _beat_all_soon(self) -> None:
        await asyncio.sleep(URGENT_HEARTBEATS_MS / clocks.MS_PER_S)
        links_up = [self.link_to(vm) for vm in self._view.members.neighbours]
        await asyncio.gather(
            *(self.beat(link) for link in links_up if link is not None),
            return_exceptions=True,
        )

    async def beat(self, link: links.PeerLink) -> None:
        """Exchanges one heartbeat.

        Raises:
          errors.PeerUnreachableError: The peer does not reply.
        """
        asked_at = self._view.clock.now()
        members = self._view.members
        heartbeat = messages.Heartbeat(
            sender=members.own_record(),
            news=members.next_updates(),
            platform_age_ms=self.platform_age_ms(asked_at),
            levels=self._warmup.next_updates(),
            joining=len(members.all_members) == 1,
            config_revision=self._revision_of(),
        )
        body = await link.request(envelopes.wrap(heartbeat))
        ack = envelopes.unwrap(body)
        now = self._view.clock.now()
        members.on_heartbeat(ack.sender, ack.news, now)
        self._warmup.merge(ack.levels, now)
        self._take_platform_age(ack.platform_age_ms, now)
        if ack.config_revision <= self._revision_of():
            self._view.pause_detector.confirm_view(asked_at, now)
        self._on_revision(link, ack.config_revision)

    def _open(
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
        self._tasks[key] = asyncio.create_task(self._beat_forever(key, link))
        return link

    def _drop(self, key: str) -> None:
        self._used_at.pop(key, None)
        self._tasks.pop(key).cancel()
        self._links.pop(key).close()

    async def _beat_forever(self, key: str, link: links.PeerLink) -> None:
        interval_s = self._settings.heartbeat_ms / clocks.MS_PER_S
        while True:
            is_neighbour = key in self._view.members.neighbours
            if link.is_connected and (is_neighbour or key.startswith("seed/")):
                try:
                    await self.beat(link)
                except errors.CitrondoorError:
                    # Silence is what suspicion counts; nothing to do here.
                    pass
            await asyncio.sleep(interval_s)

    async def _answer(self, sender: str, body: messages.Body) -> messages.Body:
        message = envelopes.unwrap(body)
        return envelopes.wrap(await self._registry(message, sender))

    async def _on_heartbeat(
        self, heartbeat: messages.Heartbeat, sender: str
    ) -> messages.HeartbeatAck:
        now = self._view.clock.now()
        members = self._view.members
        members.on_heartbeat(heartbeat.sender, heartbeat.news, now)
        self._warmup.merge(heartbeat.levels, now)
        self._take_platform_age(heartbeat.platform_age_ms, now)
        is_joining = heartbeat.joining
        news = members.all_members if is_joining else members.next_updates()
        warmup = self._warmup
        levels = warmup.all_levels() if is_joining else warmup.next_updates()
        return messages.HeartbeatAck(
            sender=members.own_record(),
            news=news,
            platform_age_ms=self.platform_age_ms(now),
            levels=levels,
            config_revision=self._revision_of(),
        )

    async def _on_events(
        self, request: messages.EventsRequest, sender: str
    ) -> messages.Events:
        return messages.Events(
            self._view.recorder.events_after(request.after_wall_ms)
        )

    def _take_platform_age(self, age_ms: int, now: int) -> None:
        read_at = now - age_ms
        if self._platform_read_at is None or read_at > self._platform_read_at:
            self._platform_read_at = read_at

    def _on_protocol_error(self) -> None:
        self.protocol_error_count += 1
