import asyncio
import functools
import random

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import fanout
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.entry import _relay
from tests import serving_samples as samples

KIND = links.ExchangeOutcome


def records(*values):
    return b"".join(b"%016d" % value for value in values)


class FakePeerNetwork:
    """One end of a link between two daemons; a test may cut it."""

    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.other = None
        self.is_connected = True
        self.drops = 0
        self.notes = functools.singledispatch(lambda message, sender: None)
        self.on_down = None

    def reachable_in(self, zone):
        is_there = self.is_connected and self.other.zone == zone
        return [self.other.name] if is_there else []

    def notify(self, name, message):
        if not self.is_connected:
            return False
        if self.drops:
            self.drops -= 1
            return True
        loop = asyncio.get_running_loop()
        loop.call_soon(self.other.notes, message, self.name)
        return True

    def take_notes(self, kind, handler):
        self.notes.register(kind, handler)

    def watch_links(self, on_down):
        self.on_down = on_down


class FakePool:
    """Answers exchanges when a test says so."""

    def __init__(self):
        self.exchanges = {}
        self.cancelled = []

    def submit(self, upstream, exchange):
        self.exchanges[upstream.id] = exchange

    def release(self, token):
        pass

    def cancel(self, token):
        self.cancelled.append(token)

    def answer(self, upstream_id, body=b""):
        exchange = self.exchanges.pop(upstream_id)
        response = http1.Response(200, [], body)
        stamp = upstream_id.encode()
        exchange.deliver(
            exchange.token, links.ExchangeResult(KIND.ANSWERED, response, stamp)
        )


class Pair:
    """An asking daemon in zone a and a serving one in zone b."""

    def __init__(self):
        self.clock = clocks.ManualClock(1000)
        self.ends = {}
        self.peer_networks = [
            FakePeerNetwork("vm-a", "a"),
            FakePeerNetwork("vm-b", "b"),
        ]
        self.peer_networks[0].other, self.peer_networks[1].other = reversed(
            self.peer_networks
        )
        found = [
            samples.upstream(f"i-{n}", f"s{n}", zone="b") for n in range(4)
        ]
        self.pool = FakePool()
        self.relays = []
        for peers in self.peer_networks:
            view = entry.LocalView(lambda kind, detail: None, {})
            view.take_reading(
                entry.StoreContents(1, samples.route_set(1), found, []), 0
            )
            relay = entry.Relay(peers, view, self.clock, random.Random(1))
            relay.set_pool(self.pool)
            self.relays.append(relay)
        self.view = view
        self.sends = [
            fanout.Send(n + 1, u.backend, fanout.ReplicaState(u))
            for n, u in enumerate(found)
        ]

    def submit(self, count=4):
        outbound = links.OutboundRequest(
            b"r1",
            b"GET",
            b"/g/x?a=b",
            [(b"host", b"h:80"), (b"x-other", b"1")],
            b"",
            self.clock.now() + 500,
            True,
        )
        return self.relays[0].submit(
            "b", outbound, 3, self.sends[:count], self.deliver
        )

    def deliver(self, token, reply):
        assert token not in self.ends
        self.ends[token] = reply

    async def settle(self):
        for _ in range(6):
            await asyncio.sleep(0)


def run(body):
    async def whole():
        pair = Pair()
        await body(pair)

    asyncio.run(whole())


def test_replies_come_back_with_the_records_that_matter():
    async def body(pair):
        assert pair.submit()
        await pair.settle()
        outbound = pair.pool.exchanges["i-0"].outbound
        assert outbound.target == b"/g/x?a=b"
        assert outbound.headers == [(b"host", b"h:80"), (b"x-other", b"1")]
        pair.pool.answer("i-0", records(1, 9, 5, 7))
        pair.pool.answer("i-1", records(2, 8))
        await pair.settle()
        assert pair.ends[1].response.body == records(9, 7, 5)
        assert pair.ends[2].response.body == records(8)
        assert pair.ends[2].stamp == b"i-1"

    run(body)


def test_one_send_alone_goes_directly():
    async def body(pair):
        assert not pair.submit(count=_relay.LEAST_SENDS - 1)

    run(body)


def test_a_peer_that_is_cut_off_is_not_asked():
    async def body(pair):
        pair.peer_networks[0].is_connected = False
        assert not pair.submit()

    run(body)


def test_a_lost_link_ends_all_sends_of_the_peer():
    async def body(pair):
        pair.submit()
        await pair.settle()
        pair.peer_networks[0].on_down("vm-b")
        assert {r.kind for r in pair.ends.values()} == {KIND.BROKEN}
        # A late reply is not taken twice.
        pair.pool.answer("i-0")
        await pair.settle()
        assert len(pair.ends) == 4

    run(body)


def test_replies_after_a_missing_one_are_not_used():
    # They lack records that the missing one was pruned against.
    async def body(pair):
        pair.submit()
        await pair.settle()
        pair.peer_networks[1].drops = 1
        pair.pool.answer("i-0", records(9, 8, 7))
        await pair.settle()
        pair.pool.answer("i-1", records(6, 5))
        await pair.settle()
        assert pair.ends[2].kind == KIND.BROKEN
        assert 1 not in pair.ends

    run(body)


def test_a_silent_peer_is_passed_over_and_its_sends_end():
    async def body(pair):
        pair.submit()
        pair.clock.advance(_relay.SILENT_MS + 1)
        assert not pair.submit()
        pair.clock.advance(500 + _relay.EXPIRY_MS)
        pair.relays[0].sweep(pair.clock.now())
        assert len(pair.ends) == 4
        assert pair.submit()

    run(body)


def test_a_peer_with_one_slow_searcher_is_asked_all_the_same():
    # A searcher that is slow for longer than a peer may be silent, while its
    # siblings have answered, says nothing of the peer.
    async def body(pair):
        pair.submit(3)
        await pair.settle()
        pair.pool.answer("i-0")
        await pair.settle()
        pair.clock.advance(_relay.SILENT_MS + 1)
        assert pair.submit(2)

    run(body)


def test_a_withdrawn_send_is_withdrawn_at_the_peer():
    async def body(pair):
        pair.submit()
        await pair.settle()
        assert pair.relays[0].cancel([1, 2, 99]) == [99]
        await pair.settle()
        assert len(pair.pool.cancelled) == 2

    run(body)


def test_a_searcher_that_the_peer_does_not_use_was_not_asked():
    # The peer may know of an evacuation before the asking daemon does.
    async def body(pair):
        pair.view.registry.set_evacuated(frozenset({"b"}))
        pair.submit()
        await pair.settle()
        assert pair.pool.exchanges == {}
        assert {r.kind for r in pair.ends.values()} == {KIND.UNSENT}

    run(body)
