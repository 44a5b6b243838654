"""Sends to searchers of other availability zones through a peer there.

A query over many shards has several of them in each zone. One message carries
its head to the zone, and one the records that matter back; sent one by one,
both cross once for each shard. All decisions stay with the daemon that the
caller asked; the peer only sends.
"""

import asyncio
import itertools
import random
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import fanout
from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.entry import _peer_network
from citrondoor.entry import _view
from citrondoor.schema import messages

# Sends to one zone that are worth a message of their own.
LEAST_SENDS = 2
# A peer that has sent nothing back of a message for this long is passed over;
# the first of several searchers answers sooner.
SILENT_MS = 150
# Replies that have not come this long after the caller's deadline never will.
EXPIRY_MS = 1000


class RelayCounters:
    """Counts of sends through peers."""

    __slots__ = ("delegated", "lost_replies", "served_for_peers")

    def __init__(self):
        self.delegated = 0
        self.served_for_peers = 0
        self.lost_replies = 0


class _Asked:
    """Sends that one message gave to a peer."""

    __slots__ = ("expires_at", "next_index", "sent_at")

    def __init__(self, sent_at: int, expires_at: int):
        self.sent_at = sent_at
        self.expires_at = expires_at
        self.next_index = 0


class _Serving:
    """Sends that this daemon does for one message of a peer."""

    __slots__ = ("asker", "next_index", "pruner")

    def __init__(self, asker: str, top: int):
        self.asker = asker
        self.pruner = fanout.Pruner(top)
        self.next_index = 0


class Relay:
    """Both sides of sends through peers.

    Args:
      peers: Links to peers.
      view: Searchers that may receive work.
      clock: Clock of the daemon.
      rng: Random source.
    """

    __slots__ = (
        "_clock",
        "_heard_at",
        "_numbers",
        "_owed",
        "_peer_of",
        "_peers",
        "_pool",
        "_replies",
        "_rng",
        "_served",
        "_served_tokens",
        "_view",
        "counters",
    )

    def __init__(
        self,
        peers: _peer_network.PeerNetwork,
        view: _view.LocalView,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._peers = peers
        self._view = view
        self._clock = clock
        self._rng = rng
        self._pool: links.HttpPool | None = None
        # For each peer, sends that have not ended, and who takes their end.
        self._owed: dict[str, dict[int, tuple[_Asked, Callable]]] = {}
        self._peer_of: dict[int, str] = {}
        self._heard_at: dict[str, int] = {}
        # Tokens of the daemon's own requests are positive.
        self._numbers = itertools.count(-1, -1)
        # Own token to the message and the token that the peer gave it.
        self._served: dict[int, tuple[_Serving, int]] = {}
        self._served_tokens: dict[tuple[str, int], int] = {}
        self._replies: dict[str, list[messages.RelayReply]] = {}
        self.counters = RelayCounters()
        peers.take_notes(messages.RelayAsk, self.on_ask)
        peers.take_notes(messages.RelayReplies, self.on_replies)
        peers.take_notes(messages.RelayCancel, self.on_cancel)
        peers.watch_links(self.on_link_down)

    def set_pool(self, pool: links.HttpPool) -> None:
        """Takes the connections that sends for peers go on."""
        self._pool = pool

    def submit(
        self,
        zone: str,
        outbound: links.OutboundRequest,
        top: int,
        sends: list[fanout.Send],
        deliver,
    ) -> bool:
        """Sends through a peer of a zone; returns whether one takes it.

        Args:
          zone: Availability zone of the searchers.
          outbound: What each searcher gets.
          top: Records of the merged answer.
          sends: What to send; all searchers are in the zone.
          deliver: Takes the token and the end of each send, once.
        """
        if len(sends) < LEAST_SENDS:
            return False
        now = self._clock.now()
        peers = [
            name
            for name in self._peers.reachable_in(zone)
            if not self._is_silent(name, now)
        ]
        if not peers:
            return False
        peer = self._rng.choice(peers)
        if not self._peers.notify(peer, self._make_ask(outbound, top, sends)):
            return False
        owed = self._owed.setdefault(peer, {})
        asked = _Asked(now, outbound.deadline_at + EXPIRY_MS)
        for send in sends:
            owed[send.token] = (asked, deliver)
            self._peer_of[send.token] = peer
        self.counters.delegated += len(sends)
        return True

    def cancel(self, tokens: list[int]) -> list[int]:
        """Withdraws sends; returns those that did not go through a peer."""
        direct = [token for token in tokens if token not in self._peer_of]
        by_peer: dict[str, list[int]] = {}
        for token in tokens:
            if token in self._peer_of:
                by_peer.setdefault(self._peer_of[token], []).append(token)
        for peer, cancelled in by_peer.items():
            self._peers.notify(peer, messages.RelayCancel(cancelled))
        return direct

    def on_replies(self, message: messages.RelayReplies, sender: str) -> None:
        """Takes the ends of sends from the peer that did them."""
        self._heard_at[sender] = self._clock.now()
        for reply in message.replies:
            owed = self._owed.get(sender, {}).get(reply.token)
            if owed is None:
                continue
            asked, _ = owed
            if reply.index == asked.next_index:
                asked.next_index += 1
                self._end(sender, reply.token, _decode_reply(reply))
            else:
                # A reply is missing that this one was pruned against.
                self._lose(sender, reply.token)

    def on_link_down(self, peer: str) -> None:
        """Ends all sends that a lost peer had; they may have run."""
        for token in list(self._owed.get(peer, ())):
            self._lose(peer, token)

    def sweep(self, now: int) -> None:
        """Ends sends whose replies never came."""
        for peer, owed in self._owed.items():
            for token, (asked, _) in list(owed.items()):
                if now >= asked.expires_at:
                    self._lose(peer, token)

    def on_ask(self, message: messages.RelayAsk, sender: str) -> None:
        """Sends to searchers of the own zone for a peer."""
        outbound = links.OutboundRequest(
            message.request_id,
            message.method,
            message.target,
            _split_head(message.head),
            message.body,
            self._clock.now() + message.left_ms,
            True,
        )
        serving = _Serving(sender, message.top)
        for send in message.sends:
            self.counters.served_for_peers += 1
            token = next(self._numbers)
            self._served[token] = (serving, send.token)
            self._served_tokens[sender, send.token] = token
            upstream = self._view.registry.find(send.upstream)
            if upstream is None:
                self._on_served(
                    token, links.ExchangeResult(links.ExchangeOutcome.UNSENT)
                )
            else:
                exchange = links.Exchange(token, outbound, self._on_served)
                self._pool.submit(upstream, exchange)

    def on_cancel(self, message: messages.RelayCancel, sender: str) -> None:
        """Withdraws sends that a peer does not wait for any more."""
        for token in message.tokens:
            served = self._served_tokens.get((sender, token))
            if served is not None:
                self._pool.cancel(served)

    def _make_ask(
        self,
        outbound: links.OutboundRequest,
        top: int,
        sends: list[fanout.Send],
    ) -> messages.RelayAsk:
        left_ms = max(1, outbound.deadline_at - self._clock.now())
        return messages.RelayAsk(
            outbound.request_id,
            outbound.method,
            outbound.target,
            b"\r\n".join(n + b":" + v for n, v in outbound.headers),
            outbound.body,
            left_ms,
            top,
            [messages.RelaySend(s.token, s.replica.upstream.id) for s in sends],
        )

    def _is_silent(self, peer: str, now: int) -> bool:
        owed = self._owed.get(peer)
        if not owed:
            return False
        heard_at = self._heard_at.get(peer, 0)
        # One slow searcher says nothing of the peer: only a message of which
        # no searcher has answered does.
        return any(
            not asked.next_index
            and now - max(asked.sent_at, heard_at) > SILENT_MS
            for asked, _ in owed.values()
        )

    def _lose(self, peer: str, token: int) -> None:
        self.counters.lost_replies += 1
        self._end(
            peer, token, links.ExchangeResult(links.ExchangeOutcome.BROKEN)
        )

    def _end(self, peer: str, token: int, reply: links.ExchangeResult) -> None:
        found = self._owed.get(peer, {}).pop(token, None)
        if found is not None:
            del self._peer_of[token]
            found[1](token, reply)

    def _on_served(self, token: int, reply: links.ExchangeResult) -> None:
        self._pool.release(token)
        serving, asked_token = self._served.pop(token)
        del self._served_tokens[serving.asker, asked_token]
        told = messages.RelayReply(asked_token, reply.kind.value)
        told.index = serving.next_index
        serving.next_index += 1
        told.cold_ms = reply.cold_ms
        told.is_misdirected = reply.is_misdirected
        if reply.response is not None:
            told.status = reply.response.status
            told.stamp = reply.stamp
        if reply.kind == links.ExchangeOutcome.ANSWERED:
            told.body = serving.pruner.prune(reply.response.body)
        waiting = self._replies.setdefault(serving.asker, [])
        waiting.append(told)
        if len(waiting) == 1:
            # Replies that arrive in the same turn of the loop go together.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._flush, serving.asker)

    def _flush(self, asker: str) -> None:
        replies = self._replies.pop(asker, [])
        # An asker whose link is lost has ended these sends already.
        self._peers.notify(asker, messages.RelayReplies(replies))


def _decode_reply(reply: messages.RelayReply) -> links.ExchangeResult:
    response = None
    if reply.status:
        response = http1.Response(reply.status, [], reply.body)
    return links.ExchangeResult(
        links.ExchangeOutcome(reply.kind),
        response,
        reply.stamp,
        reply.cold_ms,
        reply.is_misdirected,
    )


def _split_head(head: bytes) -> list[tuple[bytes, bytes]]:
    pairs = (line.partition(b":") for line in head.split(b"\r\n") if line)
    return [(name, value) for name, _, value in pairs]
