"""Connects entry daemons, which find each other through seed addresses.

One task for each link sends heartbeats and receives the replies. If a reply
has the stamp of a newer view, the daemon requests the changes on the same link.
Stamps in received heartbeats are not compared.
"""

import asyncio
import functools
import itertools
import socket
import sys
from collections.abc import Callable

from citrondoor import addresses
from citrondoor import clock as clocks
from citrondoor import discovery
from citrondoor import errors
from citrondoor import limits
from citrondoor import links
from citrondoor import membership
from citrondoor import rendezvous
from citrondoor.codecs import envelopes
from citrondoor.entry import _decision_log
from citrondoor.entry import _view
from citrondoor.schema import messages
from citrondoor.schema import serving
from citrondoor.schema import settings as schema_settings

HEARTBEAT_INTERVAL_MS = 400
# Up to this many daemons form a full mesh, as `engine.Peering` does; in a
# larger cluster a daemon links to its neighbours, and to further peers where it
# would have fewer than `LINKS_PER_OTHER_ZONE` links to another zone that has
# searchers.
MAX_FULL_MESH_VMS = 12
# Two, so that a query can be sent through another peer when one fails.
LINKS_PER_OTHER_ZONE = 2
# A peer is suspected if its lost link isn't restored within this time, in
# which the first two attempts to reconnect take place.
RECONNECT_GRACE_MS = 200
# Of the heartbeats and replies that need not carry the sender's record, counted
# over all links, one in this many carries it all the same, so that a peer that
# missed a change receives it later.
FULL_HEARTBEAT_EVERY = 32
# Limits that all daemons share are divided by the number of daemons that were
# alive within this time, since one that lost its peers still sends requests.
MEMBER_COUNT_WINDOW_MS = 15_000
# Minimum divisor of the shared limits until a heartbeat is received or
# `DISCOVERY_TIMEOUT_MS` has passed: a daemon that counted only itself would use
# the whole of each limit.
ASSUMED_MEMBER_COUNT = 8
# A daemon that has received no heartbeat within this time after its start no
# longer assumes `ASSUMED_MEMBER_COUNT` daemons, but counts those that it knows.
DISCOVERY_TIMEOUT_MS = 4000
# Holds the searcher list of a large cluster and a long configuration.
MAX_FRAME_BYTES = 33_554_432
# While a request for a newer view is pending for less than this, no other peer
# is asked: several of them report the same change within a few ms.
VIEW_REQUEST_GAP_MS = 100
# Timeout of a request to a peer, and of waiting for a link to come up.
PEER_REQUEST_TIMEOUT_MS = 500
# A link to a member that was lost, or to a seed, is given up if the member is
# not alive by then: a connection, and heartbeats in both directions.
REJOIN_TIMEOUT_MS = 2000
_SEED_PREFIX = "seed/"
_REJOIN_KEY = "rejoin"


class PeerNetwork:
    """Links to other entry daemons, and the members of their cluster.

    All `now` arguments are readings of the daemon's clock in milliseconds.

    Args:
      settings: Settings of the daemon.
      incarnation: Incarnation of this daemon.
      view: Local view of routes and searchers, exchanged with peers.
      clock: Clock of the daemon.
      log: Log of decisions.
      account: Where the memory of peers' messages is recorded.
      connector: Opens a connection; tests replace it to simulate lost links.
      link_bound: Bounds the links from and to peers.
    """

    __slots__ = (
        "_clock",
        "_connector",
        "_disconnect_listeners",
        "_has_received_heartbeat",
        "_heartbeat_numbers",
        "_is_settled",
        "_last_alive_at",
        "_link_bound",
        "_link_down_listeners",
        "_link_settings",
        "_linked_version",
        "_links",
        "_log",
        "_members",
        "_newly_linked",
        "_notification_handlers",
        "_outage_detector",
        "_own_address",
        "_rejoin_schedule",
        "_rejoin_started_at",
        "_searcher_zones",
        "_seeds",
        "_server",
        "_settings",
        "_started_at",
        "_store_read_at",
        "_store_read_by",
        "_tasks",
        "_view",
        "_view_requested_at",
        "protocol_error_count",
    )

    def __init__(
        self,
        settings: serving.EntrySettings,
        incarnation: int,
        view: _view.LocalView,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
        account: limits.MemoryAccount | None = None,
        connector: links.Connector = links.open_connection,
        link_bound: limits.LinkBound | None = None,
    ):
        self._link_bound = link_bound or limits.LinkBound(sys.maxsize)
        self._settings = settings
        self._connector = connector
        self._rejoin_schedule = membership.RejoinSchedule(settings.vm)
        self._rejoin_started_at = 0
        self._seeds = settings.seeds
        self._own_address = addresses.split_address(settings.peers)
        self._view = view
        self._clock = clock
        self._log = log
        timing = schema_settings.PeerSettings(
            key=settings.peer_key, heartbeat_ms=HEARTBEAT_INTERVAL_MS
        )
        self._members = membership.Members(
            settings.vm, incarnation, timing, self._on_event
        )
        self._link_settings = links.PeerSettings(
            settings.vm,
            incarnation,
            bytes.fromhex(settings.peer_key),
            MAX_FRAME_BYTES,
            PEER_REQUEST_TIMEOUT_MS,
            account,
        )
        self._links: dict[str, links.PeerLink] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        # Peers to which no heartbeat was sent on the link that is up: they may
        # not know this daemon.
        self._newly_linked: set[str] = set()
        self._server = links.PeerServer(
            self._link_settings,
            self._answer,
            self._on_protocol_error,
            self._on_notification,
            self._on_disconnect,
            self._link_bound,
            self._is_live_member,
            lambda: len(self._links),
        )
        self._notification_handlers = functools.singledispatch(
            self._ignore_notification
        )
        self._link_down_listeners: list[Callable[[str], None]] = []
        self._disconnect_listeners: list[Callable[[str], None]] = []
        self._outage_detector = discovery.StoreOutageDetector()
        self._started_at = clock.now()
        self._store_read_at: int | None = None
        self._store_read_by = ""
        self._last_alive_at: dict[str, int] = {}
        self._has_received_heartbeat = False
        self._is_settled = False
        self._heartbeat_numbers = itertools.count()
        self._linked_version = -1
        self._searcher_zones: frozenset[str] = frozenset()
        self._view_requested_at = -VIEW_REQUEST_GAP_MS
        self.protocol_error_count = 0

    @property
    def members(self) -> membership.Members:
        """States and endpoints of the known daemons."""
        return self._members

    @property
    def store_read_by(self) -> str:
        """VM whose report set `store_age_ms`, or this one; empty at first."""
        return self._store_read_by

    @property
    def link_count(self) -> int:
        """Number of links that are up or being opened."""
        return len(self._links)

    def serve(self, listener: socket.socket) -> None:
        """Accepts links of peers on a listening socket."""
        self._server.serve(listener)

    def connect(self) -> None:
        """Connects to the seeds."""
        self._connect_to_seeds()

    async def close(self) -> None:
        """Closes all links and stops listening."""
        for name in list(self._links):
            self._close_link(name)
        await self._server.close()

    def live_vms(self) -> list[str]:
        """Returns the VMs whose daemons are alive or only suspected.

        This daemon's VM is included.
        """
        return sorted({*self._members.live_vms(), self._settings.vm})

    def effective_member_count(self, now: int) -> int:
        """Returns the number of daemons that limits are divided by.

        Counts the daemons that were alive within `MEMBER_COUNT_WINDOW_MS`, and
        at least `ASSUMED_MEMBER_COUNT` while peers are still being discovered.
        """
        recent_count = len(self._recent_vms(now))
        is_discovering = now - self._started_at < DISCOVERY_TIMEOUT_MS
        if is_discovering and not self._has_received_heartbeat:
            return max(recent_count, ASSUMED_MEMBER_COUNT)
        return recent_count

    def recent_zones(self, now: int) -> dict[str, str]:
        """Returns the availability zone of each daemon's VM.

        Includes the daemons that were alive within `MEMBER_COUNT_WINDOW_MS`.
        The zone of one without a known endpoint is empty.
        """
        zones = {}
        for name in self._recent_vms(now):
            endpoint = self._members.endpoint_of(name)
            zones[name] = endpoint.zone if endpoint else ""
        zones[self._settings.vm] = self._settings.zone
        return zones

    def is_settling(self, now: int) -> bool:
        """Returns whether this daemon has not heard of any other one yet.

        It gives up to wait `DISCOVERY_TIMEOUT_MS` after its start.
        """
        if not self._is_settled:
            is_discovering = now - self._started_at < DISCOVERY_TIMEOUT_MS
            self._is_settled = (
                self._has_received_heartbeat or not is_discovering
            )
            if self._is_settled:
                self._log.write(
                    "members_settled",
                    members=len(self._members.all_members),
                    after_ms=now - self._started_at,
                    has_heard_peer=self._has_received_heartbeat,
                )
        return not self._is_settled

    def _recent_vms(self, now: int) -> list[str]:
        for name in self.live_vms():
            self._last_alive_at[name] = now
        return [
            name
            for name, alive_at in self._last_alive_at.items()
            if now - alive_at < MEMBER_COUNT_WINDOW_MS
        ]

    def ready_endpoints(self) -> list[serving.EntryPlace]:
        """Returns the endpoints of daemons to which callers may connect.

        Includes this daemon and its peers if they are alive and ready. A peer
        to which this daemon has no link is included, but not one whose link is
        down.
        """
        ready = []
        for member in self._members.all_members:
            is_own = member.vm == self._settings.vm
            if member.place is None or not member.place.is_ready:
                continue
            if member.state != messages.MemberState.ALIVE:
                continue
            link = self._links.get(member.vm)
            if is_own or link is None or link.is_connected:
                ready.append(member.place)
        return ready

    def reachable_in(self, zone: str) -> list[str]:
        """Returns the names of peers that are alive, ready and connected.

        A peer is connected if the link that this daemon opened to it is up.

        Args:
          zone: Availability zone of the peers.
        """
        return [
            name
            for name, link in self._links.items()
            if link.is_connected and self._is_ready_in(zone, name)
        ]

    def _is_ready_in(self, zone: str, name: str) -> bool:
        endpoint = self._members.endpoint_of(name)
        return (
            endpoint is not None
            and endpoint.is_ready
            and endpoint.zone == zone
            and self._members.state_of(name) == messages.MemberState.ALIVE
        )

    def set_seeds(self, seeds: list[str]) -> None:
        """Sets the seed addresses, without connecting to them.

        `tick` tries those at whose address no member is known to be alive.
        """
        self._seeds = seeds

    def set_searcher_zones(self, zones: frozenset[str]) -> None:
        """Sets the zones with searchers, to which queries go through peers."""
        if zones != self._searcher_zones:
            self._searcher_zones = zones
            # The next tick opens and closes links.
            self._linked_version = -1

    def notify(self, name: str, message) -> bool:
        """Sends a notification to a peer on a link in either direction.

        In a large cluster there may be a link from the peer to this daemon
        only; the notification is then sent on that one.

        Returns:
          Whether there is a link; the notification may be lost all the same.
        """
        body = envelopes.wrap(message)
        link = self._links.get(name)
        if link is not None and link.notify(body):
            return True
        return self._server.notify(name, body)

    def notify_all(self, message) -> None:
        """Sends a notification on all links; some may not receive it."""
        for link in list(self._links.values()):
            if link.name:
                self.notify(link.name, message)

    def register_notification_handler(self, kind: type, handler) -> None:
        """Registers the handler of one type of notification.

        Args:
          kind: Type of the message.
          handler: Called with each such message and the sender's name.
        """
        self._notification_handlers.register(kind, handler)

    def add_link_down_listener(self, on_down: Callable[[str], None]) -> None:
        """Registers `on_down`, called with the peer's name for a lost link.

        Only the link that this daemon opened to the peer counts.
        """
        self._link_down_listeners.append(on_down)

    def add_disconnect_listener(
        self, on_disconnect: Callable[[str], None]
    ) -> None:
        """Registers a function called when no link to a peer is left.

        Args:
          on_disconnect: Called with the peer's name when the last link in
            either direction is lost.
        """
        self._disconnect_listeners.append(on_disconnect)

    def announce_endpoint(self, endpoint: serving.EntryPlace) -> None:
        """Sets this daemon's endpoint and sends it to the peers immediately."""
        self._members.set_endpoint(endpoint)
        self._send_heartbeats()

    def announce_leaving(self) -> None:
        """Notifies the peers immediately that this daemon shuts down."""
        self._members.set_leaving()
        self._send_heartbeats()

    def store_age_ms(self, now: int) -> int:
        """Returns the age of the newest store read in the local view, in ms.

        Before the first read it is the time since the start of the daemon.
        """
        read_at = self._store_read_at
        return now - (self._started_at if read_at is None else read_at)

    def record_store_read(
        self, read_at: int, reported_by: str = "", ended_at: int | None = None
    ) -> None:
        """Records that this daemon or a peer has read the store.

        Args:
          read_at: Start of the read, by this daemon's clock: what it returned
            may be as old.
          reported_by: Peer that reported the read; empty for an own read.
          ended_at: End of the read, if known. An outage of the store may have
            lasted until then.
        """
        if self._store_read_at is None or read_at > self._store_read_at:
            self._store_read_at = read_at
            self._store_read_by = reported_by or self._settings.vm
        if ended_at is None:
            ended_at = read_at
        self._outage_detector.record_running(self._clock.now())
        if self._outage_detector.record_read(ended_at):
            self._log.write("store_outage_ended", read_at=ended_at)
            self._view.registry.on_store_recovered(self._clock.now())

    def tick(self, now: int) -> None:
        """Updates the members' states and opens or closes links accordingly."""
        self._outage_detector.record_running(now)
        self._members.tick(now)
        if self._members.is_superseded:
            self._log.write("incarnation_raised", vm_name=self._settings.vm)
            self._members.raise_incarnation()
        if self._members.version != self._linked_version:
            self._linked_version = self._members.version
            self._update_links(now)
        self._find_lost_members(now)

    def _find_lost_members(self, now: int) -> None:
        """Opens a link to a lost member or a seed, one at a time.

        The other side may take this daemon for dead as well; the heartbeats on
        the link let both refute it.
        """
        link = self._links.get(_REJOIN_KEY)
        if link is not None:
            is_alive = (
                link.is_connected
                and self._members.state_of(link.name)
                == messages.MemberState.ALIVE
            )
            if not is_alive and now - self._rejoin_started_at < (
                REJOIN_TIMEOUT_MS
            ):
                return
            self._close_link(_REJOIN_KEY)
        if not self._rejoin_schedule.is_due(now):
            return
        address = self._rejoin_schedule.choose(self._lost_addresses(), now)
        if address is not None:
            self._rejoin_started_at = now
            self._open_link(_REJOIN_KEY, "", *address)

    def _lost_addresses(self) -> set[tuple[str, int]]:
        """Returns where a member was or may be, and none is known alive.

        A daemon that knows no peer has links to seeds already, to all of them
        if there are not too many.
        """
        lost = {addresses.split_address(seed) for seed in self._seeds}
        alive = {self._own_address}
        linked = {
            link.endpoint
            for key, link in self._links.items()
            if key.startswith(_SEED_PREFIX)
        }
        if linked:
            return lost - linked - alive
        for member in self._members.all_members:
            if member.place is None:
                continue
            address = (member.place.host, member.place.peer_port)
            if member.state == messages.MemberState.DEAD:
                lost.add(address)
            else:
                alive.add(address)
        return lost - alive

    def _update_links(self, now: int) -> None:
        known = [
            member.vm
            for member in self._members.all_members
            if member.place is not None
            and member.state
            in (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)
        ]
        self._members.set_declared([*known, self._settings.vm], 0, now)
        self._linked_version = self._members.version
        peers = (
            known
            if len(known) <= MAX_FULL_MESH_VMS
            else self._choose_peers(known)
        )
        peers = [name for name in peers if name != self._settings.vm]
        if len(peers) > self._link_bound.max_dialled:
            # Each daemon prefers others: with the first ones, these would be
            # the same for all daemons.
            ranking = rendezvous.rank(f"link/{self._settings.vm}", peers)
            peers = ranking[: self._link_bound.max_dialled]
        for name in peers:
            endpoint = self._members.endpoint_of(name)
            self._open_link(name, name, endpoint.host, endpoint.peer_port)
        for name in list(self._links):
            if name == _REJOIN_KEY:
                continue
            is_seed = name.startswith(_SEED_PREFIX)
            if (is_seed and peers) or (not is_seed and name not in peers):
                self._close_link(name)
        if not peers:
            self._connect_to_seeds()

    def _choose_peers(self, known: list[str]) -> list[str]:
        """Returns the peers to link to where a full mesh would be too large."""
        neighbours = self._members.neighbours
        cross_zone = membership.choose_cross_zone_peers(
            self._settings.vm,
            self._settings.zone,
            {name: self._members.endpoint_of(name).zone for name in known},
            self._searcher_zones,
            neighbours,
            LINKS_PER_OTHER_ZONE,
        )
        return [*neighbours, *cross_zone]

    def _is_live_member(self, name: str) -> bool:
        return self._members.state_of(name) in (
            messages.MemberState.ALIVE,
            messages.MemberState.SUSPECT,
        )

    def _connect_to_seeds(self) -> None:
        # Each daemon prefers others, so that they find each other.
        ranking = rendezvous.rank(f"seed/{self._settings.vm}", self._seeds)
        for seed in ranking[: self._link_bound.max_dialled]:
            address = addresses.split_address(seed)
            if address != self._own_address:
                self._open_link(f"{_SEED_PREFIX}{seed}", "", *address)

    def _open_link(self, key: str, name: str, host: str, port: int) -> None:
        link = self._links.get(key)
        if link is not None and link.endpoint == (host, port):
            return
        if link is not None:
            self._close_link(key)
        link = links.PeerLink(
            name,
            host,
            port,
            self._link_settings,
            self._connector,
            self._on_event,
            self._on_notification,
        )
        self._links[key] = link
        link.start()
        self._tasks[key] = asyncio.create_task(self._exchange_heartbeats(link))

    def _close_link(self, key: str) -> None:
        self._links.pop(key).close()
        self._tasks.pop(key).cancel()

    async def _exchange_heartbeats(self, link: links.PeerLink) -> None:
        while True:
            await self._exchange_heartbeat(link)
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / clocks.MS_PER_S)

    async def _exchange_heartbeat(self, link: links.PeerLink) -> None:
        """Exchanges a heartbeat; updates the view if the peer's is newer."""
        try:
            if not link.is_connected:
                await link.wait_connected()
            sent_at = self._clock.now()
            heartbeat = self._make_heartbeat(
                link.name, self._is_joining(link.name)
            )
            reply = await link.request(envelopes.wrap(heartbeat))
            await self._apply_reply(envelopes.unwrap(reply), link, sent_at)
        except errors.CitrondoorError:
            # `_on_event` handles the loss of a link. `Members.tick` suspects a
            # neighbour that stays silent on an open one.
            self._members.forget_sent(link.name)
        except Exception as error:  # noqa: BLE001
            # One reply that cannot be applied must not end the heartbeats.
            self._log.write_rate_limited(
                "heartbeat_failed", peer=link.name, error=repr(error)
            )

    def _is_joining(self, peer: str) -> bool:
        """Whether to ask a peer for all members that it knows."""
        is_unknown = self._members.state_of(peer) is None
        return is_unknown or len(self._members.all_members) == 1

    async def _apply_reply(
        self, heartbeat: messages.EntryBeat, link: links.PeerLink, sent_at: int
    ) -> None:
        _check_type(heartbeat, messages.EntryBeat, link.name)
        self._apply_heartbeat(heartbeat, link.name)
        # The peer computed the age after `sent_at`, so the read took place at
        # this time or later.
        read_at = sent_at - heartbeat.store_age_ms
        now = self._clock.now()
        is_asking = now - self._view_requested_at < VIEW_REQUEST_GAP_MS
        if _view.is_newer(heartbeat.stamp, self._view.stamp) and not is_asking:
            self._view_requested_at = now
            try:
                await self._update_view(link)
            finally:
                self._view_requested_at = -VIEW_REQUEST_GAP_MS
        # Before its first view, a peer reports the time since its start.
        has_view = heartbeat.stamp.upstream_revision >= 0
        own_stamp = self._view.stamp
        # A read of an older era tells nothing of this one.
        if (
            has_view
            and heartbeat.stamp.era == own_stamp.era
            and not _view.is_newer(heartbeat.stamp, own_stamp)
        ):
            self.record_store_read(read_at, link.name)

    async def _update_view(self, link: links.PeerLink) -> None:
        """Requests what a peer knows of routes and searchers, and applies it.

        Raises:
          errors.CitrondoorError: The peer did not reply, or not as expected.
        """
        is_whole = self._view.needs_whole(self._clock.now())
        request = (
            self._view.whole_request()
            if is_whole
            else serving.ViewRequest(self._view.stamp)
        )
        reply = await link.request(envelopes.wrap(request))
        updates = envelopes.unwrap(reply)
        _check_type(updates, serving.ViewNews, link.name)
        try:
            self._view.apply_updates(
                updates, link.name, self._clock.now(), is_whole
            )
        except errors.ViewTooLargeError as error:
            self._log.write_rate_limited(
                "view_refused", peer=link.name, reason=str(error)
            )

    def _apply_heartbeat(
        self, heartbeat: messages.EntryBeat, sender: str
    ) -> None:
        self._has_received_heartbeat = True
        now = self._clock.now()
        if heartbeat.sender is None:
            self._members.on_heartbeat_without_record(sender, now)
            self._members.merge_updates(heartbeat.news, sender, now)
        else:
            self._members.on_heartbeat(heartbeat.sender, heartbeat.news, now)

    def _make_heartbeat(
        self, peer: str, is_joining: bool
    ) -> messages.EntryBeat:
        members = self._members
        is_first = peer in self._newly_linked
        self._newly_linked.discard(peer)
        has_record = (
            members.take_own_update(peer)
            or is_first
            or is_joining
            or next(self._heartbeat_numbers) % FULL_HEARTBEAT_EVERY == 0
        )
        return messages.EntryBeat(
            members.own_record() if has_record else None,
            members.next_updates(peer),
            self._view.stamp,
            self.store_age_ms(self._clock.now()),
            is_joining,
        )

    async def _answer(self, sender: str, body: messages.Body) -> messages.Body:
        message = envelopes.unwrap(body)
        if isinstance(message, serving.ViewRequest):
            updates = self._view.updates_after(message.known, self._clock.now())
            return envelopes.wrap(updates)
        _check_type(message, messages.EntryBeat, sender)
        self._apply_heartbeat(message, sender)
        reply = self._make_heartbeat(sender, False)
        if message.joining:
            reply.news = self._members.take_all_members(sender)
        return envelopes.wrap(reply)

    def _send_heartbeats(self) -> None:
        for link in self._links.values():
            if link.is_connected:
                task = asyncio.create_task(self._exchange_heartbeat(link))
                self._tasks[f"heartbeat/{link.name}"] = task
                task.add_done_callback(
                    lambda _, name=link.name: self._tasks.pop(
                        f"heartbeat/{name}", None
                    )
                )

    def _on_event(self, kind: str, detail: str) -> None:
        if kind == "message_dropped":
            self._log.write_rate_limited(kind, detail=detail)
            return
        self._log.write(kind, detail=detail)
        if kind == "link_up":
            self._newly_linked.add(detail)
        if kind == "link_down":
            self._newly_linked.discard(detail)
            self._members.forget_sent(detail)
            for listener in self._link_down_listeners:
                listener(detail)
            self._on_disconnect(detail)
            asyncio.get_running_loop().call_later(
                RECONNECT_GRACE_MS / clocks.MS_PER_S,
                self._suspect_if_disconnected,
                detail,
            )

    def _on_disconnect(self, name: str) -> None:
        """Reports a peer once it has no link in either direction."""
        link = self._links.get(name)
        if self._server.is_linked(name) or (
            link is not None and link.is_connected
        ):
            return
        for listener in self._disconnect_listeners:
            listener(name)

    def _suspect_if_disconnected(self, name: str) -> None:
        """Suspects a peer whose lost link hasn't been restored.

        Heartbeats pass the suspicion on to daemons without a link to the peer,
        which then leave it out of the endpoints that they give to callers.
        """
        link = self._links.get(name)
        if link is not None and not link.is_connected:
            self._members.suspect_unreachable(name, self._clock.now())

    def _on_notification(self, sender: str, body: messages.Body) -> None:
        try:
            self._notification_handlers(envelopes.unwrap(body), sender)
        except Exception as error:  # noqa: BLE001
            # One notification that cannot be handled must not end the link.
            self._log.write_rate_limited(
                "note_failed", sender=sender, error=repr(error)
            )

    def _ignore_notification(self, message, sender: str) -> None:
        self._log.write_rate_limited(
            "note_ignored", kind=type(message).__name__, sender=sender
        )

    def _on_protocol_error(self) -> None:
        self.protocol_error_count += 1
        self._log.write_rate_limited(
            "peer_refused", count=self.protocol_error_count
        )


def _check_type(message, expected: type, sender: str) -> None:
    """Raises `errors.FrameError` for a message of another type."""
    if not isinstance(message, expected):
        raise errors.FrameError(
            f"{sender!r} sent {type(message).__name__} where an entry daemon"
            f" expects {expected.__name__}; run compatible versions"
        )
