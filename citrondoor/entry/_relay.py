"""Sends to searchers of other availability zones through a peer there.

A query over many shards usually has several of them in each zone. Sent one by
one, its head and the replies' records would cross zones once per shard. Through
a peer, one message carries the head to the zone, and the peer returns only
records that can be in the merged answer. The daemon that received the query
makes all decisions; the peer only sends.
"""

import asyncio
import functools
import itertools
import random
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import fanout
from citrondoor import limits
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.entry import _peer_network
from citrondoor.entry import _view
from citrondoor.schema import messages
from citrondoor.schema import serving

# Fewer sends to a zone than this go directly: a single one saves nothing.
MIN_SENDS_PER_BATCH = 2
# A peer gets no new batches while one that was sent to it longer ago than this
# has no reply, and no reply to another batch has arrived within this time
# either. The first of several searchers normally answers sooner.
MAX_PEER_SILENCE_MS = 150
# Replies missing this long after the caller's deadline count as lost.
REPLY_EXPIRY_MS = 1000
# Random bits in the origin of a process, besides its incarnation: the time of
# day, from which incarnations come, may be set back before a restart.
ORIGIN_RANDOM_BITS = 20
# Bits of the incarnation in it; messages carry 63 bits and a sign. A machine
# whose clock was never set may be centuries off.
ORIGIN_INCARNATION_BITS = 43
# Memory of a send for a peer, besides the request that its batch shares.
SERVED_SEND_BYTES = 1024


class RelayCounters:
    """Counts of sends delegated to peers and served for them.

    `stale_replies` counts replies to sends of an earlier process on this VM,
    which are ignored.
    """

    __slots__ = (
        "delegated",
        "lost_replies",
        "served_for_peers",
        "stale_replies",
    )

    def __init__(self):
        self.delegated = 0
        self.served_for_peers = 0
        self.lost_replies = 0
        self.stale_replies = 0


class _DelegatedBatch:
    """State of the sends that one message delegated to a peer.

    `next_index` is the index that its next reply must have; a gap means that a
    reply was lost.
    """

    __slots__ = ("expires_at", "next_index", "sent_at")

    def __init__(self, sent_at: int, expires_at: int):
        self.sent_at = sent_at
        self.expires_at = expires_at
        self.next_index = 0


class _ServedBatch:
    """State of the sends that this daemon makes for one message of a peer.

    `requester` is the peer's VM, and `origin` identifies its process.
    `next_index` numbers the replies of the batch in the order of pruning.
    `holder` records the request until `remaining_count` sends have ended.
    """

    __slots__ = (
        "holder",
        "next_index",
        "origin",
        "pruner",
        "remaining_count",
        "requester",
    )

    def __init__(
        self,
        requester: str,
        origin: int,
        top: int,
        holder: limits.Holder,
        send_count: int,
    ):
        self.holder = holder
        self.remaining_count = send_count
        self.requester = requester
        self.origin = origin
        self.pruner = fanout.Pruner(top)
        self.next_index = 0


class Relay:
    """Delegates sends to peers, and makes the sends that peers delegate.

    `set_pool` must be called before `submit` and before a peer can be served.

    Args:
      peers: Links to peers.
      view: This daemon's view of the searchers.
      incarnation: Incarnation of this daemon.
      clock: Clock of the daemon.
      rng: Random number generator.
      account: Where the memory of peers' requests is recorded; while it is
        short, none is sent. None leaves them unlimited.
    """

    __slots__ = (
        "_account",
        "_clock",
        "_last_reply_at",
        "_newest_origins",
        "_on_served_reply",
        "_origin",
        "_pause_ms",
        "_peer_of",
        "_peers",
        "_pending_sends",
        "_pool",
        "_queued_replies",
        "_rng",
        "_served_sends",
        "_served_token_of",
        "_tokens",
        "_view",
        "counters",
    )

    def __init__(
        self,
        peers: _peer_network.PeerNetwork,
        view: _view.LocalView,
        incarnation: int,
        clock: clocks.Clock,
        rng: random.Random,
        account: limits.MemoryAccount | None = None,
    ):
        self._account = account or limits.MemoryAccount()
        self._peers = peers
        self._view = view
        self._clock = clock
        self._rng = rng
        self._pool: links.HttpPool | None = None
        low_bits = incarnation & (1 << ORIGIN_INCARNATION_BITS) - 1
        self._origin = low_bits << ORIGIN_RANDOM_BITS | rng.getrandbits(
            ORIGIN_RANDOM_BITS
        )
        # For each peer, the delegated sends that have not ended, by token: the
        # batch of each and the function that takes its result.
        self._pending_sends: dict[
            str, dict[int, tuple[_DelegatedBatch, Callable]]
        ] = {}
        self._peer_of: dict[int, str] = {}
        self._last_reply_at: dict[str, int] = {}
        # Negative, so that they differ from the dispatcher's tokens, which are
        # positive, in the same pool.
        self._tokens = itertools.count(-1, -1)
        # For each served send, by own token: its batch, the peer's token, and
        # the searcher, None if it gets no request.
        self._served_sends: dict[
            int, tuple[_ServedBatch, int, serving.Upstream | None]
        ] = {}
        # By VM, origin and token of the requester.
        self._served_token_of: dict[tuple[str, int, int], int] = {}
        # For each VM, the highest origin of a request.
        self._newest_origins: dict[str, int] = {}
        self._on_served_reply = lambda upstream, reply: None
        self._pause_ms = lambda upstream: 0
        # By VM and origin of the requester.
        self._queued_replies: dict[
            tuple[str, int], list[messages.RelayReply]
        ] = {}
        self.counters = RelayCounters()
        peers.register_notification_handler(
            messages.RelayAsk, self.on_relay_request
        )
        peers.register_notification_handler(
            messages.RelayReplies, self.on_relay_replies
        )
        peers.register_notification_handler(
            messages.RelayCancel, self.on_relay_cancel
        )
        peers.add_link_down_listener(self.on_link_down)
        peers.add_disconnect_listener(self.on_disconnect)

    def set_pool(self, pool: links.HttpPool) -> None:
        """Sets the pool that sends, and knows which peers may connect."""
        self._pool = pool

    def set_searcher_state(
        self,
        on_reply: Callable[[serving.Upstream, links.ExchangeResult], None],
        pause_ms: Callable[[serving.Upstream], int],
    ) -> None:
        """Shares this daemon's own state of searchers with sends for peers.

        Args:
          on_reply: Called with each result of a send for a peer.
          pause_ms: Returns for how long a searcher wants no request.
        """
        self._on_served_reply = on_reply
        self._pause_ms = pause_ms

    def reach_checker(self) -> Callable[[serving.Upstream], bool]:
        """Returns a function that tells if a peer can send to a searcher now.

        It looks up the peers of each zone once, so it is for one request.
        """
        candidates = functools.cache(self._candidates)
        return lambda upstream: any(
            self._pool.may_peer_connect(peer, upstream)
            for peer in candidates(upstream.zone)
        )

    def submit(
        self,
        zone: str,
        outbound: links.OutboundRequest,
        top: int,
        sends: list[fanout.Send],
        on_result,
        min_sends: int = MIN_SENDS_PER_BATCH,
    ) -> list[fanout.Send]:
        """Delegates sends to peers in the zone of their searchers.

        All go to one peer, unless it may not connect to some of the searchers.

        Args:
          zone: Availability zone of the searchers.
          outbound: The request that each searcher receives.
          top: Number of records in the merged answer.
          sends: Sends to delegate; all their searchers are in the zone.
          on_result: Called once with the token and the result of each send.
          min_sends: Fewer sends than this are not delegated to a peer.

        Returns:
          The sends that were not delegated, which the caller must make.
        """
        remaining = sends
        for peer in self._candidates(zone):
            batch = [
                send
                for send in remaining
                if self._pool.may_peer_connect(peer, send.replica.upstream)
            ]
            if len(batch) < min_sends:
                continue
            if not self._delegate(peer, outbound, top, batch, on_result):
                continue
            if len(batch) == len(remaining):
                return []
            delegated = {send.token for send in batch}
            remaining = [
                send for send in remaining if send.token not in delegated
            ]
        return remaining

    def _candidates(self, zone: str) -> list[str]:
        """Returns the peers that can send to a zone, least loaded first."""
        now = self._clock.now()
        peers = [
            name
            for name in self._peers.reachable_in(zone)
            if not self._is_silent(name, now)
        ]
        self._rng.shuffle(peers)
        return sorted(
            peers, key=lambda name: len(self._pending_sends.get(name, ()))
        )

    def _delegate(
        self,
        peer: str,
        outbound: links.OutboundRequest,
        top: int,
        sends: list[fanout.Send],
        on_result,
    ) -> bool:
        if not self._peers.notify(
            peer, self._make_relay_request(outbound, top, sends)
        ):
            return False
        pending = self._pending_sends.setdefault(peer, {})
        batch = _DelegatedBatch(
            self._clock.now(), outbound.deadline_at + REPLY_EXPIRY_MS
        )
        for send in sends:
            pending[send.token] = (batch, on_result)
            self._peer_of[send.token] = peer
        self.counters.delegated += len(sends)
        return True

    def cancel(self, tokens: list[int]) -> list[int]:
        """Cancels delegated sends.

        Args:
          tokens: Tokens of sends, delegated or not.

        Returns:
          The tokens of sends that are not delegated and were left alone.
        """
        direct = [token for token in tokens if token not in self._peer_of]
        by_peer: dict[str, list[int]] = {}
        for token in tokens:
            if token in self._peer_of:
                by_peer.setdefault(self._peer_of[token], []).append(token)
        for peer, cancelled in by_peer.items():
            self._peers.notify(
                peer, messages.RelayCancel(cancelled, self._origin)
            )
        return direct

    def on_relay_replies(
        self, message: messages.RelayReplies, sender: str
    ) -> None:
        """Delivers the results of delegated sends that a peer returns.

        A peer also returns what it did for an earlier process on this VM, whose
        sends had the same tokens; these replies are ignored.
        """
        if message.origin != self._origin:
            self.counters.stale_replies += len(message.replies)
            return
        self._last_reply_at[sender] = self._clock.now()
        for reply in message.replies:
            pending_send = self._pending_sends.get(sender, {}).get(reply.token)
            if pending_send is None:
                continue
            batch, _ = pending_send
            if reply.index == batch.next_index:
                batch.next_index += 1
                self._deliver(sender, reply.token, _decode_reply(reply))
            else:
                # An earlier reply of the batch was lost. This one was pruned
                # against its records, so it may lack records of the answer.
                self._fail_lost(sender, reply.token)

    def on_link_down(self, peer: str) -> None:
        """Fails all sends delegated to a peer whose link is down.

        Their results are BROKEN, because searchers may have run them.
        """
        for token in list(self._pending_sends.get(peer, ())):
            self._fail_lost(peer, token)

    def on_disconnect(self, peer: str) -> None:
        """Cancels the sends for a peer that can get no replies any more.

        Its process has probably ended, and a searcher at work on them would
        keep the requests of the next process waiting.
        """
        self._cancel_served(lambda vm, origin: vm == peer)

    def sweep(self, now: int) -> None:
        """Fails delegated sends whose replies are overdue."""
        for peer, pending in self._pending_sends.items():
            for token, (batch, _) in list(pending.items()):
                if now >= batch.expires_at:
                    self._fail_lost(peer, token)

    def on_relay_request(self, message: messages.RelayAsk, sender: str) -> None:
        """Sends a peer's request to searchers of this daemon's zone."""
        outbound = links.OutboundRequest(
            message.request_id,
            message.method,
            message.target,
            _split_head(message.head),
            message.body,
            self._clock.now() + message.left_ms,
            True,
        )
        origin = message.origin
        self._cancel_for_predecessors(sender, origin)
        is_short = self._account.is_short
        batch = _ServedBatch(
            sender,
            origin,
            message.top,
            self._account.open(serving.Sender.PEER, _keep),
            len(message.sends),
        )
        if message.sends:
            batch.holder.record(
                len(message.head)
                + len(message.body)
                + len(message.sends) * SERVED_SEND_BYTES,
                is_complete=True,
            )
        for send in message.sends:
            self.counters.served_for_peers += 1
            token = next(self._tokens)
            upstream = self._view.registry.find(send.upstream)
            pause_ms = 0 if upstream is None else self._pause_ms(upstream)
            is_sent = upstream is not None and not pause_ms and not is_short
            self._served_sends[token] = (
                batch,
                send.token,
                upstream if is_sent else None,
            )
            self._served_token_of[sender, origin, send.token] = token
            if not is_sent:
                result = links.ExchangeResult(links.ExchangeOutcome.UNSENT)
                if pause_ms:
                    result.statements = messages.SearcherStatements(
                        pause_ms=pause_ms
                    )
                self._on_served_result(token, result)
            else:
                exchange = links.Exchange(
                    token, outbound, self._on_served_result
                )
                self._pool.submit(upstream, exchange)

    def on_relay_cancel(
        self, message: messages.RelayCancel, sender: str
    ) -> None:
        """Cancels sends that a peer no longer needs."""
        for token in message.tokens:
            own_token = self._served_token_of.get(
                (sender, message.origin, token)
            )
            if own_token is not None:
                self._pool.cancel(own_token)

    def _cancel_for_predecessors(self, requester: str, origin: int) -> None:
        """Cancels sends for earlier processes on a requester's VM."""
        newest_origin = self._newest_origins.get(requester)
        if newest_origin is not None and origin <= newest_origin:
            return
        self._newest_origins[requester] = origin
        if newest_origin is None:
            return
        self._cancel_served(
            lambda vm, served_origin: (
                vm == requester and served_origin != origin
            )
        )

    def _cancel_served(self, is_cancelled: Callable[[str, int], bool]) -> None:
        """Cancels the sends for some requesters, given by VM and origin."""
        for (vm, origin, _), token in list(self._served_token_of.items()):
            if is_cancelled(vm, origin):
                self._pool.cancel(token)

    def _make_relay_request(
        self,
        outbound: links.OutboundRequest,
        top: int,
        sends: list[fanout.Send],
    ) -> messages.RelayAsk:
        remaining_ms = max(1, outbound.deadline_at - self._clock.now())
        return messages.RelayAsk(
            outbound.request_id,
            outbound.method,
            outbound.target,
            b"\r\n".join(
                name + b":" + value for name, value in outbound.headers
            ),
            outbound.body,
            remaining_ms,
            top,
            [
                messages.RelaySend(send.token, send.replica.upstream.id)
                for send in sends
            ],
            self._origin,
        )

    def _is_silent(self, peer: str, now: int) -> bool:
        pending = self._pending_sends.get(peer)
        if not pending:
            return False
        last_reply_at = self._last_reply_at.get(peer, 0)
        # Only a batch without any reply counts: where some have come, the rest
        # may be missing because of a slow searcher rather than the peer.
        return any(
            not batch.next_index
            and now - max(batch.sent_at, last_reply_at) > MAX_PEER_SILENCE_MS
            for batch, _ in pending.values()
        )

    def _fail_lost(self, peer: str, token: int) -> None:
        self.counters.lost_replies += 1
        self._deliver(
            peer, token, links.ExchangeResult(links.ExchangeOutcome.BROKEN)
        )

    def _deliver(
        self, peer: str, token: int, reply: links.ExchangeResult
    ) -> None:
        pending_send = self._pending_sends.get(peer, {}).pop(token, None)
        if pending_send is not None:
            del self._peer_of[token]
            pending_send[1](token, reply)

    def _on_served_result(
        self, token: int, reply: links.ExchangeResult
    ) -> None:
        self._pool.release(token)
        batch, requester_token, upstream = self._served_sends.pop(token)
        batch.remaining_count -= 1
        if not batch.remaining_count:
            batch.holder.close()
        if upstream is not None:
            self._on_served_reply(upstream, reply)
        requester = (batch.requester, batch.origin)
        del self._served_token_of[*requester, requester_token]
        reply_message = messages.RelayReply(
            requester_token, reply.outcome.value
        )
        reply_message.index = batch.next_index
        batch.next_index += 1
        reply_message.cold_ms = reply.cold_ms
        reply_message.is_misdirected = reply.is_misdirected
        reply_message.statements = reply.statements
        if reply.response is not None:
            reply_message.status = reply.response.status
            reply_message.stamp = reply.stamp
        if reply.outcome == links.ExchangeOutcome.ANSWERED:
            reply_message.body = batch.pruner.prune(reply.response.body)
        queued = self._queued_replies.setdefault(requester, [])
        queued.append(reply_message)
        if len(queued) == 1:
            # Replies of one iteration of the event loop share a message.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._flush, *requester)

    def _flush(self, requester: str, origin: int) -> None:
        replies = self._queued_replies.pop((requester, origin), [])
        # The result is ignored: if the link is down, the requester has failed
        # these sends already.
        self._peers.notify(requester, messages.RelayReplies(replies, origin))


def _decode_reply(reply: messages.RelayReply) -> links.ExchangeResult:
    response = None
    if reply.status:
        response = http1.Response(reply.status, [], reply.body)
    outcome = links.ExchangeOutcome(reply.kind)
    return links.ExchangeResult(
        outcome,
        response,
        reply.stamp,
        reply.cold_ms,
        reply.is_misdirected,
        # The peer cancels only what this daemon has cancelled before.
        is_broken_off=outcome == links.ExchangeOutcome.BROKEN,
        statements=reply.statements,
    )


def _keep() -> None:
    """Is never called: requests in use do not give way."""


def _split_head(head: bytes) -> list[tuple[bytes, bytes]]:
    pairs = (line.partition(b":") for line in head.split(b"\r\n") if line)
    return [(name, value) for name, _, value in pairs]
