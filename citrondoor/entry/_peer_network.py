"""Entry daemons that find each other by seeds and exchange views.

One task for each link beats; a daemon whose view is older asks the other one
for what it lacks.
"""

import asyncio
import collections
import functools
import itertools
from collections.abc import Callable

from citrondoor import addresses
from citrondoor import clock as clocks
from citrondoor import discovery
from citrondoor import errors
from citrondoor import links
from citrondoor import membership
from citrondoor.codecs import envelopes
from citrondoor.entry import _decision_log
from citrondoor.entry import _view
from citrondoor.schema import messages
from citrondoor.schema import serving
from citrondoor.schema import settings as schema_settings

BEAT_MS = 400
# Up to this many daemons each links to every other one, as those do that read
# declarations; in a larger fleet to its neighbours and to some of each zone.
MESH_VMS = 12
# Links to each other zone: a query is sent through another peer when one fails.
LINKS_TO_A_ZONE = 2
# A lost link that is not back after this time makes its peer suspect, in ms;
# the first two attempts to connect again are over by then.
REDIAL_GRACE_MS = 200
# One in so many beats carries the unchanged record of its sender as well, so
# that a daemon that missed the change has it within some seconds.
WHOLE_BEAT_EVERY = 8
# Bounds that all daemons share count those that were alive within this time: a
# daemon that is cut off still sends.
MEMBER_MEMORY_MS = 15_000
# Before any peer was heard of, bounds are divided by this number.
ASSUMED_MEMBERS = 8
# A daemon that hears of no peer in this time takes itself for the only one.
LONELY_MS = 4000
# Searcher lists of a large fleet and a grown configuration fit in a frame.
MAX_FRAME_BYTES = 33_554_432
REQUEST_TIMEOUT_MS = 500


class PeerNetwork:
    """Links to other entry daemons.

    Args:
      settings: Settings of the daemon.
      incarnation: This incarnation.
      view: What is believed; exchanged with peers.
      clock: Clock of the daemon.
      log: Log of decisions.
    """

    __slots__ = (
        "_beats",
        "_clock",
        "_is_heard",
        "_link_listeners",
        "_link_settings",
        "_links",
        "_log",
        "_members",
        "_notes",
        "_outage_detector",
        "_own_address",
        "_seeds",
        "_seen_alive",
        "_server",
        "_settings",
        "_started_at",
        "_tasks",
        "_version",
        "_view",
        "protocol_error_count",
    )

    def __init__(
        self,
        settings: serving.EntrySettings,
        incarnation: int,
        view: _view.LocalView,
        clock: clocks.Clock,
        log: _decision_log.DecisionLog,
    ):
        self._settings = settings
        self._seeds = settings.seeds
        self._own_address = addresses.split_address(settings.peers)
        self._view = view
        self._clock = clock
        self._log = log
        timing = schema_settings.PeerSettings(
            key=settings.peer_key, heartbeat_ms=BEAT_MS
        )
        self._members = membership.Members(
            settings.vm, incarnation, timing, self._record
        )
        self._link_settings = links.PeerSettings(
            settings.vm,
            incarnation,
            bytes.fromhex(settings.peer_key),
            MAX_FRAME_BYTES,
            REQUEST_TIMEOUT_MS,
        )
        self._links: dict[str, links.PeerLink] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._server = links.PeerServer(
            self._link_settings,
            self._answer,
            self._on_protocol_error,
            self._on_notification,
        )
        self._notes = functools.singledispatch(self._ignore_note)
        self._link_listeners: list[Callable[[str], None]] = []
        self._outage_detector = discovery.StoreOutageDetector()
        self._started_at = clock.now()
        self._seen_alive: dict[str, int] = {}
        self._is_heard = False
        self._beats = itertools.count()
        self._version = -1
        self.protocol_error_count = 0

    @property
    def members(self) -> membership.Members:
        """What is believed of other daemons."""
        return self._members

    @property
    def link_count(self) -> int:
        """Links to peers that are up or being opened."""
        return len(self._links)

    async def start(self) -> None:
        """Listens for peers and dials the seeds."""
        await self._server.start(*self._own_address)
        self._dial_seeds()

    async def close(self) -> None:
        """Ends all links."""
        for name in list(self._links):
            self._drop(name)
        await self._server.close()

    def live_vms(self) -> list[str]:
        """Returns the names of daemons that are alive, this one included."""
        return sorted({*self._members.live_vms(), self._settings.vm})

    def effective_member_count(self, now: int) -> int:
        """Returns by how many daemons shared bounds are divided."""
        for name in self.live_vms():
            self._seen_alive[name] = now
        recent = sum(
            now - seen < MEMBER_MEMORY_MS for seen in self._seen_alive.values()
        )
        is_new = now - self._started_at < LONELY_MS
        if is_new and not self._is_heard:
            return max(recent, ASSUMED_MEMBERS)
        return recent

    def daemons_by_zone(self, now: int) -> dict[str, int]:
        """Returns how many daemons of each zone share connections."""
        count = self.effective_member_count(now)
        found: collections.Counter[str] = collections.Counter()
        for name, seen in self._seen_alive.items():
            place = self._members.endpoint_of(name)
            if now - seen < MEMBER_MEMORY_MS:
                found[place.zone if place else ""] += 1
        # Daemons that are assumed to be there may be in any zone.
        found[self._settings.zone] += max(0, count - found.total())
        return dict(found)

    def ready_endpoints(self) -> list[serving.EntryPlace]:
        """Returns where callers may be sent, this daemon included."""
        found = []
        for member in self._members.all_members:
            is_own = member.vm == self._settings.vm
            if member.place is None or not member.place.is_ready:
                continue
            if member.state != messages.MemberState.ALIVE:
                continue
            link = self._links.get(member.vm)
            if is_own or link is None or link.is_connected:
                found.append(member.place)
        return found

    def reachable_in(self, zone: str) -> list[str]:
        """Returns peers of an availability zone that take work."""
        return [
            name
            for name, link in self._links.items()
            if link.is_connected
            and self._members.state_of(name) == messages.MemberState.ALIVE
            and self._members.endpoint_of(name).zone == zone
            and self._members.endpoint_of(name).is_ready
        ]

    def set_seeds(self, seeds: list[str]) -> None:
        """Takes the peers to ask when no other is known."""
        self._seeds = seeds

    def notify(self, name: str, message) -> bool:
        """Sends a note to a peer; returns whether a link with it is up.

        In a large fleet a peer may have a link to this daemon that has none
        to it.
        """
        body = envelopes.wrap(message)
        link = self._links.get(name)
        if link is not None and link.notify(body):
            return True
        return self._server.notify(name, body)

    def take_notes(self, kind: type, handler) -> None:
        """Gives notes of one kind to a function of message and sender."""
        self._notes.register(kind, handler)

    def watch_links(self, on_down: Callable[[str], None]) -> None:
        """Calls `on_down` with the name of each peer whose link is lost."""
        self._link_listeners.append(on_down)

    def announce_endpoint(self, endpoint: serving.EntryPlace) -> None:
        """Tells the others where this daemon is reached, at once."""
        self._members.set_endpoint(endpoint)
        self._hurry()

    def announce_leaving(self) -> None:
        """Tells the others that this daemon shuts down, at once."""
        self._members.set_leaving()
        self._hurry()

    def store_age_ms(self, now: int) -> int:
        """Returns the age of the newest reading that this view contains."""
        read_at = self._outage_detector.last_read_at
        return now - (self._started_at if read_at is None else read_at)

    def record_store_read(self, read_at: int) -> None:
        """Notes a reading of the store, by this daemon or a peer."""
        if self._outage_detector.record_read(read_at):
            self._log.write("store_outage_ended", read_at=read_at)
            self._view.registry.on_store_recovered(self._clock.now())

    def tick(self, now: int) -> None:
        """Suspects silent members and keeps the links."""
        self._members.tick(now)
        if self._members.is_superseded:
            self._log.write("incarnation_raised", vm_name=self._settings.vm)
            self._members.raise_incarnation()
        if self._members.version != self._version:
            self._version = self._members.version
            self._relink(now)

    def _relink(self, now: int) -> None:
        known = [
            member.vm
            for member in self._members.all_members
            if member.place is not None
            and member.state
            in (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)
        ]
        self._members.set_declared([*known, self._settings.vm], 0, now)
        self._version = self._members.version
        wanted = known if len(known) <= MESH_VMS else self._choose_some(known)
        wanted = [name for name in wanted if name != self._settings.vm]
        for name in wanted:
            place = self._members.endpoint_of(name)
            self._open(name, name, place.host, place.peer_port)
        for name in list(self._links):
            is_seed = name.startswith("seed/")
            if (is_seed and wanted) or (not is_seed and name not in wanted):
                self._drop(name)
        if not wanted:
            self._dial_seeds()

    def _choose_some(self, known: list[str]) -> list[str]:
        """Returns the peers to link to in a large fleet."""
        neighbours = self._members.neighbours
        bridges = membership.choose_bridges(
            self._settings.vm,
            self._settings.zone,
            {name: self._members.endpoint_of(name).zone for name in known},
            neighbours,
            LINKS_TO_A_ZONE,
        )
        return [*neighbours, *bridges]

    def _dial_seeds(self) -> None:
        for seed in self._seeds:
            place = addresses.split_address(seed)
            if place != self._own_address:
                self._open(f"seed/{seed}", "", *place)

    def _open(self, key: str, name: str, host: str, port: int) -> None:
        link = self._links.get(key)
        if link is not None and link.endpoint == (host, port):
            return
        if link is not None:
            self._drop(key)
        link = links.PeerLink(
            name,
            host,
            port,
            self._link_settings,
            asyncio.open_connection,
            self._record,
            self._on_notification,
        )
        self._links[key] = link
        link.start()
        self._tasks[key] = asyncio.create_task(self._beat_forever(link))

    def _drop(self, key: str) -> None:
        self._links.pop(key).close()
        self._tasks.pop(key).cancel()

    async def _beat_forever(self, link: links.PeerLink) -> None:
        while True:
            await self._beat_once(link)
            await asyncio.sleep(BEAT_MS / clocks.MS_PER_S)

    async def _beat_once(self, link: links.PeerLink) -> None:
        """Exchanges a beat, and asks for news when the peer's are newer."""
        try:
            if not link.is_connected:
                await link.wait_connected()
            sent_at = self._clock.now()
            beat = self._make_beat(len(self._members.all_members) == 1)
            reply = await link.request(envelopes.wrap(beat))
            await self._take_beat(envelopes.unwrap(reply), link, sent_at)
        except errors.CitrondoorError:
            # The link reports its loss, and the member is suspected for it.
            return

    async def _take_beat(
        self, beat: messages.EntryBeat, link: links.PeerLink, sent_at: int
    ) -> None:
        self._hear(beat, link.name)
        # Asked before the answer: its age is at most this.
        read_at = sent_at - beat.store_age_ms
        if _is_newer(beat.stamp, self._view.stamp):
            request = serving.ViewRequest(self._view.stamp)
            reply = await link.request(envelopes.wrap(request))
            news = envelopes.unwrap(reply)
            self._view.apply_updates(news, link.name, self._clock.now())
        stamp = self._view.stamp
        if stamp.upstream_revision >= beat.stamp.upstream_revision:
            self.record_store_read(read_at)

    def _hear(self, beat: messages.EntryBeat, sender: str) -> None:
        self._is_heard = True
        now = self._clock.now()
        if beat.sender is None:
            self._members.on_heartbeat_without_record(sender, now)
            self._members.merge_updates(beat.news, now)
        else:
            self._members.on_heartbeat(beat.sender, beat.news, now)

    def _make_beat(self, joining: bool) -> messages.EntryBeat:
        members = self._members
        is_whole = (
            joining
            or members.has_own_update_pending
            or next(self._beats) % WHOLE_BEAT_EVERY == 0
        )
        return messages.EntryBeat(
            members.own_record() if is_whole else None,
            members.next_updates(),
            self._view.stamp,
            self.store_age_ms(self._clock.now()),
            joining,
        )

    async def _answer(self, sender: str, body: messages.Body) -> messages.Body:
        message = envelopes.unwrap(body)
        if isinstance(message, serving.ViewRequest):
            news = self._view.news_after(message.known, self._clock.now())
            return envelopes.wrap(news)
        if not isinstance(message, messages.EntryBeat):
            raise errors.FrameError(
                f"{sender!r} asked {type(message).__name__}, which an entry"
                " daemon does not answer; run compatible versions"
            )
        self._hear(message, sender)
        reply = self._make_beat(False)
        if message.joining:
            reply.news = self._members.all_members
        return envelopes.wrap(reply)

    def _hurry(self) -> None:
        for link in self._links.values():
            if link.is_connected:
                task = asyncio.create_task(self._beat_once(link))
                self._tasks[f"hurry/{link.name}"] = task
                task.add_done_callback(
                    lambda _, name=link.name: self._tasks.pop(
                        f"hurry/{name}", None
                    )
                )

    def _record(self, kind: str, detail: str) -> None:
        self._log.write(kind, detail=detail)
        if kind == "link_down":
            for listener in self._link_listeners:
                listener(detail)
            asyncio.get_running_loop().call_later(
                REDIAL_GRACE_MS / clocks.MS_PER_S, self._check_link, detail
            )

    def _check_link(self, name: str) -> None:
        """Suspects a peer whose link was lost and is not back.

        Daemons without a link to it hear of the suspicion, and name it to
        callers no more.
        """
        link = self._links.get(name)
        if link is not None and not link.is_connected:
            self._members.suspect_unreachable(name, self._clock.now())

    def _on_notification(self, sender: str, body: messages.Body) -> None:
        self._notes(envelopes.unwrap(body), sender)

    def _ignore_note(self, message, sender: str) -> None:
        self._log.write(
            "note_ignored", kind=type(message).__name__, sender=sender
        )

    def _on_protocol_error(self) -> None:
        self.protocol_error_count += 1
        self._log.write("peer_refused", count=self.protocol_error_count)


def _is_newer(one: serving.ViewStamp, other: serving.ViewStamp) -> bool:
    return (
        one.route_version > other.route_version
        or one.upstream_revision > other.upstream_revision
        or one.evacuation_revision > other.evacuation_revision
    )
