import asyncio
import functools
import random

import pytest

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import fanout
from citrondoor import limits
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.codecs import peers as codec
from citrondoor.entry import _relay
from citrondoor.schema import messages
from citrondoor.schema import serving
from tests import serving_samples as samples

OUTCOME = links.ExchangeOutcome


def records(*values):
    return b"".join(b"%016d" % value for value in values)


class FakePeerNetwork:
    """One daemon's end of a link; tests can take it down or drop messages."""

    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.other = None
        self.is_connected = True
        # Number of messages to lose next, although the link is up.
        self.messages_to_drop = 0
        self.handle = functools.singledispatch(lambda message, sender: None)
        self.on_down = None
        self.on_disconnect = None

    def reachable_in(self, zone):
        is_reachable = self.is_connected and self.other.zone == zone
        return [self.other.name] if is_reachable else []

    def notify(self, name, message):
        if not self.is_connected:
            return False
        if self.messages_to_drop:
            self.messages_to_drop -= 1
            return True
        received = codec.decode(type(message), codec.encode(message))
        loop = asyncio.get_running_loop()
        loop.call_soon(self.other.handle, received, self.name)
        return True

    def register_notification_handler(self, kind, handler):
        self.handle.register(kind, handler)

    def add_link_down_listener(self, on_down):
        self.on_down = on_down

    def add_disconnect_listener(self, on_disconnect):
        self.on_disconnect = on_disconnect


class FakePool:
    """Keeps exchanges pending until a test calls `answer`."""

    def __init__(self):
        self.exchanges = {}
        self.cancelled = []
        # Ids of searchers that peers may not connect to.
        self.unconnectable = set()

    def may_peer_connect(self, vm, upstream):
        return upstream.id not in self.unconnectable

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
            exchange.token,
            links.ExchangeResult(OUTCOME.ANSWERED, response, stamp),
        )


class RelayPair:
    """A delegating daemon in zone a and a serving one in zone b."""

    def __init__(self):
        self.clock = clocks.ManualClock(1000)
        self.account = limits.MemoryAccount(100_000)
        self.results = {}
        self.remaining_tokens = []
        self.peer_networks = [
            FakePeerNetwork("vm-a", "a"),
            FakePeerNetwork("vm-b", "b"),
        ]
        self.peer_networks[0].other, self.peer_networks[1].other = reversed(
            self.peer_networks
        )
        upstreams = [
            samples.upstream(f"i-{n}", f"s{n}", zone="b") for n in range(4)
        ]
        self.pool = FakePool()
        self.relays = []
        for peers in self.peer_networks:
            view = entry.LocalView(lambda kind, detail: None, {})
            view.apply_store_contents(
                entry.StoreContents(
                    samples.position(1), samples.route_set(1), upstreams, []
                ),
                0,
            )
            self.relays.append(self._make_relay(peers, view))
        self.serving_view = view
        self.sends = [
            fanout.Send(n + 1, upstream.backend, fanout.ReplicaState(upstream))
            for n, upstream in enumerate(upstreams)
        ]

    def _make_relay(self, peers, view):
        incarnation = self.clock.unix_ms()
        relay = entry.Relay(
            peers, view, incarnation, self.clock, random.Random(1), self.account
        )
        relay.set_pool(self.pool)
        return relay

    def restart_requester(self):
        """Replaces the delegating daemon; its tokens begin anew."""
        self.clock.advance(300)
        self.results = {}
        self.relays[0] = self._make_relay(
            self.peer_networks[0], self.serving_view
        )

    def submit(self, count=4, min_sends=_relay.MIN_SENDS_PER_BATCH):
        outbound = links.OutboundRequest(
            b"r1",
            b"GET",
            b"/g/x?a=b",
            [(b"host", b"h:80"), (b"x-other", b"1")],
            b"",
            self.clock.now() + 500,
            True,
        )
        remaining = self.relays[0].submit(
            "b",
            outbound,
            3,
            self.sends[:count],
            self.record_result,
            min_sends,
        )
        self.remaining_tokens = [send.token for send in remaining]
        return not remaining

    def record_result(self, token, reply):
        assert token not in self.results
        self.results[token] = reply

    async def settle(self):
        """Runs the callbacks that deliver messages between the daemons."""
        for _ in range(6):
            await asyncio.sleep(0)


def run(body):
    async def run_body():
        pair = RelayPair()
        await body(pair)

    asyncio.run(run_body())


def test_peers_return_only_records_that_can_be_in_the_answer():
    async def body(pair):
        assert pair.submit()
        await pair.settle()
        outbound = pair.pool.exchanges["i-0"].outbound
        assert outbound.target == b"/g/x?a=b"
        assert outbound.headers == [(b"host", b"h:80"), (b"x-other", b"1")]
        pair.pool.answer("i-0", records(1, 9, 5, 7))
        pair.pool.answer("i-1", records(2, 8))
        await pair.settle()
        assert pair.results[1].response.body == records(9, 7, 5)
        assert pair.results[2].response.body == records(8)
        assert pair.results[2].stamp == b"i-1"

    run(body)


def test_a_single_send_is_not_delegated():
    async def body(pair):
        assert not pair.submit(count=_relay.MIN_SENDS_PER_BATCH - 1)

    run(body)


def test_a_single_send_is_delegated_if_this_daemon_may_not_connect():
    async def body(pair):
        assert pair.submit(count=1, min_sends=1)

    run(body)


def test_a_peer_gets_no_sends_to_searchers_it_may_not_connect_to():
    async def body(pair):
        pair.pool.unconnectable.add("i-1")
        assert not pair.submit()
        assert pair.remaining_tokens == [2]
        await pair.settle()
        assert set(pair.pool.exchanges) == {"i-0", "i-2", "i-3"}

    run(body)


def test_a_searcher_can_be_reached_if_a_peer_of_its_zone_may_connect():
    async def body(pair):
        pair.pool.unconnectable.add("i-1")
        can_reach = pair.relays[0].reach_checker()
        upstreams = [send.replica.upstream for send in pair.sends]
        assert [can_reach(u) for u in upstreams] == [True, False, True, True]
        other_zone = samples.upstream("i-9", "s9", zone="c")
        assert not pair.relays[0].reach_checker()(other_zone)

    run(body)


def test_nothing_is_delegated_to_an_unreachable_peer():
    async def body(pair):
        pair.peer_networks[0].is_connected = False
        assert not pair.submit()

    run(body)


def test_a_lost_link_fails_all_sends_delegated_to_the_peer():
    async def body(pair):
        pair.submit()
        await pair.settle()
        pair.peer_networks[0].on_down("vm-b")
        assert {r.outcome for r in pair.results.values()} == {OUTCOME.BROKEN}
        # A late reply must not deliver a second result.
        pair.pool.answer("i-0")
        await pair.settle()
        assert len(pair.results) == 4

    run(body)


def test_replies_after_a_lost_one_are_not_used():
    # They were pruned against the records of the lost reply, so they may lack
    # records of the answer.
    async def body(pair):
        pair.submit()
        await pair.settle()
        pair.peer_networks[1].messages_to_drop = 1
        pair.pool.answer("i-0", records(9, 8, 7))
        await pair.settle()
        pair.pool.answer("i-1", records(6, 5))
        await pair.settle()
        assert pair.results[2].outcome == OUTCOME.BROKEN
        assert 1 not in pair.results

    run(body)


def test_a_silent_peer_gets_no_batch_until_its_sends_expire():
    async def body(pair):
        pair.submit()
        pair.clock.advance(_relay.MAX_PEER_SILENCE_MS + 1)
        assert not pair.submit()
        pair.clock.advance(500 + _relay.REPLY_EXPIRY_MS)
        pair.relays[0].sweep(pair.clock.now())
        assert len(pair.results) == 4
        assert pair.submit()

    run(body)


def test_one_slow_searcher_does_not_make_a_peer_silent():
    # Once some searchers of a batch have answered, the peer is not silent, even
    # if another searcher takes longer than MAX_PEER_SILENCE_MS.
    async def body(pair):
        pair.submit(3)
        await pair.settle()
        pair.pool.answer("i-0")
        await pair.settle()
        pair.clock.advance(_relay.MAX_PEER_SILENCE_MS + 1)
        assert pair.submit(2)

    run(body)


def test_cancelling_a_delegated_send_cancels_it_at_the_peer():
    async def body(pair):
        pair.submit()
        await pair.settle()
        assert pair.relays[0].cancel([1, 2, 99]) == [99]
        await pair.settle()
        assert len(pair.pool.cancelled) == 2

    run(body)


def test_sends_to_searchers_unusable_for_the_peer_end_as_unsent():
    # The peer may learn of an evacuation before the delegating daemon does.
    async def body(pair):
        pair.serving_view.registry.set_evacuated(frozenset({"b"}))
        pair.submit()
        await pair.settle()
        assert pair.pool.exchanges == {}
        assert {r.outcome for r in pair.results.values()} == {OUTCOME.UNSENT}

    run(body)


def test_both_daemons_learn_what_a_searcher_says_of_itself():
    async def body(pair):
        heard = []
        pair.relays[1].set_searcher_state(
            lambda upstream, reply: heard.append(
                (upstream.id, reply.statements.rate_limit_per_s)
            ),
            lambda upstream: 0,
        )
        assert pair.submit(count=2)
        await pair.settle()
        for upstream_id, rate_per_s in (("i-0", 2.5), ("i-1", None)):
            exchange = pair.pool.exchanges.pop(upstream_id)
            reply = links.ExchangeResult(
                OUTCOME.ANSWERED,
                http1.Response(200, [], b""),
                b"s",
                statements=messages.SearcherStatements(rate_per_s),
            )
            exchange.deliver(exchange.token, reply)
        await pair.settle()
        assert heard == [("i-0", 2.5), ("i-1", None)]
        assert pair.results[1].statements.rate_limit_per_s == 2.5
        assert pair.results[2].statements.rate_limit_per_s is None

    run(body)


def test_a_peer_sends_nothing_to_a_searcher_that_wants_a_pause_from_it():
    async def body(pair):
        pair.relays[1].set_searcher_state(
            lambda upstream, reply: None,
            lambda upstream: 700 if upstream.id == "i-0" else 0,
        )
        assert pair.submit(count=2)
        await pair.settle()
        assert set(pair.pool.exchanges) == {"i-1"}
        assert pair.results[1].outcome == OUTCOME.UNSENT
        assert pair.results[1].statements.pause_ms == 700

    run(body)


def test_a_restarted_daemon_ignores_answers_meant_for_its_predecessor():
    # MIXED: they were merged into answers to requests with the same tokens.
    async def body(pair):
        assert pair.submit()
        await pair.settle()
        served_before = dict(pair.pool.exchanges)
        pair.restart_requester()
        assert pair.submit()
        await pair.settle()
        for upstream_id, exchange in served_before.items():
            exchange.deliver(
                exchange.token,
                links.ExchangeResult(
                    OUTCOME.ANSWERED,
                    http1.Response(200, [], records(9)),
                    b"predecessor",
                ),
            )
            await pair.settle()
            pair.pool.answer(upstream_id, records(5))
        await pair.settle()
        stamps = {reply.stamp for reply in pair.results.values()}
        assert stamps == {b"i-0", b"i-1", b"i-2", b"i-3"}
        assert pair.relays[0].counters.stale_replies == 4

    run(body)


@pytest.mark.parametrize("years", [-60, 60, 300, 100_000])
def test_a_daemon_that_starts_at_any_time_of_day_delegates(years):
    async def body(pair):
        days = 365 * years
        pair.clock = clocks.ManualClock(1000, days * 86_400_000)
        pair.restart_requester()
        assert pair.submit()
        await pair.settle()
        for upstream_id in list(pair.pool.exchanges):
            pair.pool.answer(upstream_id, records(5))
        await pair.settle()
        assert len(pair.results) == 4

    run(body)


def test_a_peer_cancels_what_it_serves_for_a_daemon_that_has_gone():
    # The searchers' slots were still taken when the daemon was back.
    async def body(pair):
        assert pair.submit()
        await pair.settle()
        pair.peer_networks[1].on_disconnect("vm-c")
        assert pair.pool.cancelled == []
        pair.peer_networks[1].on_disconnect("vm-a")
        assert set(pair.pool.cancelled) == {
            exchange.token for exchange in pair.pool.exchanges.values()
        }

    run(body)


def test_a_peer_cancels_what_it_serves_for_a_daemon_that_has_restarted():
    async def body(pair):
        assert pair.submit()
        await pair.settle()
        served_before = {e.token for e in pair.pool.exchanges.values()}
        pair.restart_requester()
        assert pair.submit(count=2)
        await pair.settle()
        assert set(pair.pool.cancelled) == served_before
        # A cancellation names the sends of the new process only.
        pair.relays[0].cancel([1])
        await pair.settle()
        assert set(pair.pool.cancelled) - served_before == {
            pair.pool.exchanges["i-0"].token
        }

    run(body)


def test_a_request_of_a_peer_is_in_the_account_until_all_its_sends_end():
    async def body(pair):
        assert pair.submit()
        await pair.settle()
        kept_bytes = pair.account.kept_bytes_of(serving.Sender.PEER)
        assert kept_bytes > 4 * _relay.SERVED_SEND_BYTES
        pair.pool.answer("i-0")
        assert pair.account.kept_bytes == kept_bytes
        for n in (1, 2, 3):
            pair.pool.answer(f"i-{n}")
        assert pair.account.kept_bytes == 0

    run(body)


def test_requests_of_peers_are_not_sent_while_memory_is_short():
    async def body(pair):
        pair.account.open(serving.Sender.CALLER, None).record(
            80_000, is_complete=True
        )
        assert pair.submit()
        await pair.settle()
        assert {r.outcome for r in pair.results.values()} == {OUTCOME.UNSENT}
        assert len(pair.results) == 4

    run(body)
