import asyncio
import gc
import random
import socket
import tracemalloc

import pytest

from citrondoor import errors
from citrondoor import limits
from citrondoor import links
from citrondoor.codecs import peers as codec
from citrondoor.links import _peers
from citrondoor.schema import messages
from citrondoor.schema import serving
from tests import garbage

KEY = b"k" * 16


def make_settings(
    vm: str, key: bytes = KEY, max_frame_bytes=4096, account=None
) -> links.PeerSettings:
    return links.PeerSettings(vm, 1, key, max_frame_bytes, 2000, account)


async def increment_revision(sender: str, body: messages.Body) -> messages.Body:
    if body.config_request is not None:
        raise KeyError("unexpected")
    if body.config_advert is None:
        raise errors.PeerRefusedError("only adverts")
    revision = body.config_advert.revision + 1
    return messages.Body(config_advert=messages.ConfigAdvert(revision))


class Pair:
    """A peer server, and links that dial it."""

    def __init__(self, settings=None, handler=increment_revision, **options):
        self.protocol_error_count = 0
        self.link_up = asyncio.Event()
        self.disconnected: list[str] = []
        self.server = links.PeerServer(
            settings or make_settings("vm-1"),
            handler,
            self.on_protocol_error,
            on_disconnect=self.disconnected.append,
            **options,
        )
        self.port = 0

    def on_protocol_error(self) -> None:
        self.protocol_error_count += 1

    def on_state_change(self, kind: str, name: str) -> None:
        if kind == "link_up":
            self.link_up.set()

    async def start(self) -> None:
        await self.server.start("127.0.0.1", 0)
        self.port = self.server.port

    def dial(
        self,
        key: bytes = KEY,
        name: str = "vm-1",
        on_notification=None,
        connector=asyncio.open_connection,
        own_name: str = "vm-0",
    ) -> links.PeerLink:
        link = links.PeerLink(
            name,
            "127.0.0.1",
            self.port,
            make_settings(own_name, key),
            connector,
            self.on_state_change,
            on_notification,
        )
        link.start()
        return link


def make_advert(revision: int) -> messages.Body:
    return messages.Body(config_advert=messages.ConfigAdvert(revision))


def run(scenario, *arguments, **options) -> None:
    async def run_with_pair():
        pair = Pair(*arguments, **options)
        await pair.start()
        try:
            await scenario(pair)
        finally:
            await pair.server.close()

    asyncio.run(run_with_pair())


def test_replies_are_matched_to_their_requests():
    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        replies = await asyncio.gather(
            *(link.request(make_advert(n)) for n in range(50))
        )
        revisions = [reply.config_advert.revision for reply in replies]
        assert revisions == list(range(1, 51))
        with pytest.raises(errors.PeerRefusedError, match="only adverts"):
            await link.request(messages.Body())
        link.close()

    run(scenario)


def send_long_reason(hello_of_old_version=None):
    """Returns the bytes that a link sends for a long repetitive message."""
    sent = []

    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        if hello_of_old_version is not None:
            # As if the handshake had been with an older version.
            hello_of_old_version(link._channel)
            channel = pair.server._channels["vm-0"]
            hello_of_old_version(channel)
        reason = messages.Body(refused=messages.Refused("x" * 3000))
        with pytest.raises(errors.PeerRefusedError, match="only adverts"):
            await link.request(reason)
        sent.append(link.bytes_sent)
        link.close()

    run(scenario)
    return sent[0]


def test_long_messages_are_compressed_if_both_peers_accept_that():
    assert send_long_reason() < 300

    def forget(channel):
        channel.hello.accepts_compression = None

    assert send_long_reason(forget) > 3000


def test_request_on_closed_link_fails_immediately():
    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        link.close()
        while link.is_connected:
            await asyncio.sleep(0)
        with pytest.raises(errors.PeerUnreachableError, match="does not reply"):
            await link.request(make_advert(1))

    run(scenario)


async def wait_for_protocol_error(pair) -> None:
    while not pair.protocol_error_count:
        await asyncio.sleep(0)


def test_peer_with_another_key_is_refused():
    async def scenario(pair):
        link = pair.dial(key=b"x" * 16)
        await wait_for_protocol_error(pair)
        assert not link.is_connected
        link.close()

    run(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n" + b"x" * 64,
        b"\xff\xff\xff\xff",
        codec.encode_plain_frame(b"not thrift"),
    ],
)
def test_malformed_data_closes_only_its_own_connection(data):
    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        reader, writer = await asyncio.open_connection("127.0.0.1", pair.port)
        writer.write(data)
        await wait_for_protocol_error(pair)
        reply = await link.request(make_advert(6))
        assert reply.config_advert.revision == 7
        writer.close()
        link.close()

    run(scenario)


def test_a_request_that_cannot_be_handled_leaves_its_link_up():
    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        pending = asyncio.create_task(link.request(make_advert(6)))
        with pytest.raises(errors.PeerRefusedError, match="unexpected"):
            await link.request(
                messages.Body(config_request=messages.ConfigRequest(1))
            )
        assert (await pending).config_advert.revision == 7
        assert link.is_connected
        link.close()

    run(scenario)


def test_a_reply_that_cannot_be_encoded_leaves_its_link_up():
    async def increment_slowly(sender, body):
        await asyncio.sleep(0.01 if body.config_advert.revision < 2**62 else 0)
        return make_advert(2 * body.config_advert.revision)

    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        pending = asyncio.create_task(link.request(make_advert(6)))
        with pytest.raises(errors.PeerRefusedError, match="OverflowError"):
            await link.request(make_advert(2**62))
        assert (await pending).config_advert.revision == 12
        assert link.is_connected
        link.close()

    run(scenario, None, increment_slowly)


def test_a_link_is_dialled_again_after_a_notification_that_fails():
    # An error that ends the link's task would leave the peer unreachable until
    # one of the two daemons restarts.
    received = []

    def on_notification(name, body):
        received.append(body)
        if len(received) == 1:
            raise KeyError("unexpected")

    async def scenario(pair):
        link = pair.dial(on_notification=on_notification)
        for count in (1, 2):
            async with asyncio.timeout(2):
                # One sent before the peer sees the end of a link is lost.
                while len(received) < count:
                    pair.server.notify("vm-0", make_advert(1))
                    await asyncio.sleep(0.01)
        link.close()

    run(scenario)


def test_a_link_that_arrives_as_the_server_closes_is_closed():
    async def scenario(pair):
        with socket.create_connection(("127.0.0.1", pair.port)) as connection:
            connection.settimeout(2)
            await pair.server.close()
            await asyncio.sleep(0.01)
            assert connection.recv(1) == b""

    run(scenario)


def test_repeated_frame_fails_authentication():
    sender, receiver = (
        codec.FrameAuthenticator(b"k"),
        codec.FrameAuthenticator(b"k"),
    )
    frame = codec.encode_frame(sender, b"payload")

    async def read(data: bytes):
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        return await codec.read_frame(reader, receiver, 4096)

    assert asyncio.run(read(frame)) == b"payload"
    with pytest.raises(errors.FrameError, match="was altered, repeated"):
        asyncio.run(read(frame))


def test_encoded_message_decodes_to_the_same_message():
    message = messages.Envelope(3, 0, make_advert(9))
    assert codec.decode(messages.Envelope, codec.encode(message)) == message


def test_a_link_whose_peer_does_not_read_is_closed():
    # Messages to a peer that hangs were kept in memory without a limit.
    async def scenario(pair: Pair):
        writers = []

        async def connect(host, port):
            reader, writer = await asyncio.open_connection(host, port)
            writers.append(writer)
            return reader, writer

        link = pair.dial(connector=connect)
        await pair.link_up.wait()
        writers[0].transport.pause_reading()
        # Random bytes, which compression leaves as they are.
        reply = messages.RelayReply(
            1, 1, 200, b"", random.Random(1).randbytes(1_000_000), index=0
        )
        body = messages.Body(relay_replies=messages.RelayReplies([reply]))
        # The dialing side proves its key first, so it may be up earlier.
        while not pair.server.notify("vm-0", body):
            await asyncio.sleep(0.001)
        sent_count = 1
        while pair.server.notify("vm-0", body) and sent_count < 100:
            sent_count += 1
            await asyncio.sleep(0.001)
        # The limit of unsent bytes, one message, and socket buffers.
        assert sent_count < 20
        writers[0].transport.abort()
        link.close()

    run(scenario)


class CancellingServer(links.PeerServer):
    """Closes each connection before its task has begun."""

    def _accept(self, reader, writer):
        super()._accept(reader, writer)
        for task in self._tasks:
            task.cancel()


class StoppedServer(links.PeerServer):
    """Stops listening after a connection is accepted, before it is served."""

    def _accept(self, reader, writer):
        self._acceptor.close()
        super()._accept(reader, writer)


@pytest.mark.parametrize("server_type", [CancellingServer, StoppedServer])
def test_a_connection_accepted_as_the_server_closes_is_closed(server_type):
    # Its task was not cancelled, or ended before it could close the connection.
    async def body():
        server = server_type(
            make_settings("vm-1"), increment_revision, lambda: None
        )
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        async with asyncio.timeout(2):
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)
        writer.close()
        await server.close()

    asyncio.run(body())


async def wait_until(condition) -> None:
    async with asyncio.timeout(2):
        while not condition():
            await asyncio.sleep(0.01)


def test_frames_without_end_give_way_to_the_limit_of_all_messages():
    # Ten peers that sent most of a frame kept 370 MB.
    account = limits.MemoryAccount(1_000_000)

    async def scenario(pair):
        dialled = []
        for _ in range(3):
            pair.link_up.clear()
            dialled.append(pair.dial())
            await pair.link_up.wait()
            writer = dialled[-1]._channel.writer
            writer.write((900_000).to_bytes(4) + bytes(300_000))
        await wait_until(
            lambda: account.gave_way_counts[serving.Sender.PEER] == 2
        )
        assert 300_000 <= account.kept_bytes <= 500_000
        for link in dialled:
            link.close()
        await wait_until(lambda: not account.kept_bytes)

    run(scenario, make_settings("vm-1", KEY, 1_000_000, account))


def test_connections_without_a_handshake_are_bounded_and_keep_no_peer_out():
    async def scenario(pair):
        writers = []
        for _ in range(_peers.MAX_HANDSHAKES + 50):
            _, writer = await asyncio.open_connection("127.0.0.1", pair.port)
            writer.write((4096).to_bytes(4) + bytes(4095))
            writers.append(writer)
        await wait_until(lambda: pair.protocol_error_count >= 50)
        assert len(pair.server._handshakes) <= _peers.MAX_HANDSHAKES
        link = pair.dial()
        async with asyncio.timeout(1):
            await pair.link_up.wait()
        link.close()
        for writer in writers:
            writer.transport.abort()

    run(scenario)


def test_requests_of_a_link_in_progress_are_bounded_and_all_answered():
    account = limits.MemoryAccount(2**30)
    may_end = asyncio.Event()
    running = []

    async def handle(sender, body):
        running.append(body)
        await may_end.wait()
        return body

    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        count = _peers.MAX_REQUESTS_IN_PROGRESS + 50
        requests = [
            asyncio.create_task(link.request(make_advert(n)))
            for n in range(count)
        ]
        await wait_until(
            lambda: len(running) >= _peers.MAX_REQUESTS_IN_PROGRESS
        )
        await asyncio.sleep(0.05)
        assert len(running) == _peers.MAX_REQUESTS_IN_PROGRESS
        assert account.kept_bytes >= len(running) * _peers.REQUEST_BYTES
        may_end.set()
        replies = await asyncio.gather(*requests)
        assert [r.config_advert.revision for r in replies] == list(range(count))
        await wait_until(lambda: not account.kept_bytes)
        link.close()

    run(scenario, make_settings("vm-1", KEY, 4096, account), handle)


def test_messages_that_a_peer_does_not_read_give_way():
    account = limits.MemoryAccount(1_000_000)

    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        link._channel.writer.transport.pause_reading()
        reply = messages.RelayReply(
            1, 1, 200, b"", random.Random(1).randbytes(200_000), index=0
        )
        body = messages.Body(relay_replies=messages.RelayReplies([reply]))
        while not pair.server.notify("vm-0", body):
            await asyncio.sleep(0.001)
        while pair.server.notify("vm-0", body):
            await asyncio.sleep(0.001)
        assert account.gave_way_counts[serving.Sender.PEER] == 1
        assert account.peak_bytes < 1_000_000
        link.close()

    run(scenario, make_settings("vm-1", KEY, 4096, account))


def test_a_partial_frame_is_not_kept_after_its_link():
    # The frames of the link's error refer to each other.
    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        tracemalloc.start()
        link._channel.writer.write((900_000).to_bytes(4) + bytes(800_000))
        await wait_until(lambda: tracemalloc.get_traced_memory()[0] > 700_000)
        link.close()
        await wait_until(lambda: not pair.server.is_linked("vm-0"))
        await asyncio.sleep(0.01)
        kept_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert kept_bytes < 300_000

    gc.disable()
    try:
        run(scenario, make_settings("vm-1", KEY, 1_000_000))
    finally:
        gc.enable()


def test_a_link_whose_peer_is_gone_without_a_word_is_closed(monkeypatch):
    # Each one kept a descriptor for good: 400 of one peer were open together.
    monkeypatch.setattr(_peers, "MAX_SILENCE_S", 0.2, raising=False)

    async def scenario(pair):
        reader, writer = await asyncio.open_connection("127.0.0.1", pair.port)
        await _peers._perform_handshake(
            reader, writer, make_settings("vm-0"), is_dialer=True
        )
        await wait_until(lambda: pair.server.is_linked("vm-0"))
        await wait_until(lambda: not pair.server.is_linked("vm-0"))
        writer.close()

    run(scenario)


async def open_link(pair, name="vm-0"):
    """Returns an authenticated channel to the server."""
    streams = await asyncio.open_connection("127.0.0.1", pair.port)
    return await _peers._perform_handshake(
        *streams, make_settings(name), is_dialer=True
    )


async def is_closed(channel) -> bool:
    """Returns whether the server closes a channel within a moment."""
    try:
        async with asyncio.timeout(0.2):
            return await channel._reader.read(1) == b""
    except ConnectionError:
        return True
    except TimeoutError:
        return False


def test_links_of_one_peer_have_a_bound_in_number():
    # 289 links of one peer left no descriptor for the store.
    async def scenario(pair):
        channels = [await open_link(pair) for _ in range(50)]
        closed = await asyncio.gather(*(is_closed(c) for c in channels))
        assert closed == [True] * 48 + [False] * 2
        assert pair.server.is_linked("vm-0")
        assert not pair.disconnected
        for channel in channels:
            channel.close()
        await wait_until(lambda: pair.disconnected == ["vm-0"])

    run(scenario)


def test_a_request_on_a_link_that_is_replaced_is_answered():
    may_end = asyncio.Event()

    async def handle(sender, body):
        await may_end.wait()
        return body

    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        request = asyncio.create_task(link.request(make_advert(7)))
        await asyncio.sleep(0.05)
        channels = [await open_link(pair) for _ in range(2)]
        await asyncio.sleep(0.05)
        may_end.set()
        reply = await request
        assert reply.config_advert.revision == 7
        await wait_until(lambda: not link.is_connected)
        # Else it would be dialled again.
        link.close()
        for channel in channels:
            assert not await is_closed(channel)
            channel.close()

    run(scenario, None, handle)


def test_a_replaced_link_is_closed_though_its_request_does_not_end(monkeypatch):
    monkeypatch.setattr(_peers, "REPLACED_GRACE_S", 0.2)

    async def handle(sender, body):
        await asyncio.Event().wait()

    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        request = asyncio.create_task(link.request(make_advert(7)))
        await asyncio.sleep(0.05)
        channels = [await open_link(pair) for _ in range(2)]
        with pytest.raises(errors.PeerUnreachableError):
            await request
        link.close()
        for channel in channels:
            channel.close()

    run(scenario, None, handle)


def test_notifications_use_the_older_link_once_the_newer_one_is_closed():
    # A daemon that looks for a lost member opens a second link to it.
    async def scenario(pair):
        older = await open_link(pair)
        newer = await open_link(pair)
        await wait_until(lambda: len(pair.server._uses) == 2)
        newer.close()
        await wait_until(lambda: len(pair.server._uses) == 1)
        assert pair.server.notify("vm-0", make_advert(3))
        envelope = await older.receive()
        assert envelope.body.config_advert.revision == 3
        assert not pair.disconnected
        older.close()
        await wait_until(lambda: pair.disconnected == ["vm-0"])

    run(scenario)


def test_links_beyond_the_bound_leave_those_of_members_that_are_alive():
    bound = limits.LinkBound(10)

    async def scenario(pair):
        members = [await open_link(pair, f"member-{n}") for n in range(4)]
        strangers = [await open_link(pair, f"vm-{n}") for n in range(20)]
        for _ in range(20):
            _, writer = await asyncio.open_connection("127.0.0.1", pair.port)
            strangers.append(writer)
        await wait_until(lambda: len(pair.server._uses) <= 6)
        late = await open_link(pair, "member-4")
        for member in [*members, late]:
            assert not await is_closed(member)
            member.close()
        for stranger in strangers:
            stranger.close()
        assert bound.closed_count >= 30

    run(
        scenario,
        bound=bound,
        is_member=lambda name: name.startswith("member"),
        count_dialled=lambda: 4,
    )


def test_members_beyond_the_bound_are_refused_and_the_others_stay():
    bound = limits.LinkBound(5)

    async def scenario(pair):
        members = [await open_link(pair, f"member-{n}") for n in range(5)]
        for _ in range(50):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", pair.port
            )
            with pytest.raises((EOFError, OSError)):
                await reader.readexactly(1)
            writer.close()
        for member in members:
            assert not await is_closed(member)
            member.close()
        assert bound.refused_count == 50

    run(scenario, bound=bound)


def make_large_body(count):
    """Returns a request that is small compressed and large decoded."""
    news = [serving.UpstreamNews("", n % 10, None) for n in range(count)]
    stamp = serving.ViewStamp(1, 2, 3)
    return messages.Body(view_news=serving.ViewNews(stamp, None, news))


def test_a_request_in_progress_counts_with_what_it_takes_decoded():
    account = limits.MemoryAccount(20_000_000)
    may_end = asyncio.Event()
    kept = []

    async def handle(sender, body):
        kept.append(account.kept_bytes_of(serving.Sender.PEER))
        await may_end.wait()
        return make_advert(1)

    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        request = asyncio.create_task(link.request(make_large_body(30_000)))
        await wait_until(lambda: kept)
        assert link.bytes_sent < 20_000
        assert kept[0] > 3_000_000
        assert account.kept_bytes == kept[0]
        may_end.set()
        await request
        await wait_until(lambda: not account.kept_bytes)
        link.close()

    run(scenario, make_settings("vm-1", KEY, 2**25, account), handle)


def test_a_message_too_large_to_decode_is_dropped_and_its_link_stays():
    # A frame of 22 KB took 33.6 MB, on no account.
    account = limits.MemoryAccount(4_000_000)

    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        tracemalloc.start()
        with pytest.raises(errors.PeerUnreachableError):
            await link.request(make_large_body(200_000), timeout_ms=300)
        await link.request(make_advert(1))
        tracemalloc.stop()
        assert pair.protocol_error_count == 1
        assert account.peak_bytes < 4_000_000
        link.close()

    run(scenario, make_settings("vm-1", KEY, 2**25, account))


def test_a_reply_too_large_to_decode_is_dropped_and_its_link_stays():
    async def handle(sender, body):
        if body.config_advert is None:
            return make_advert(1)
        return make_large_body(200_000)

    async def scenario(pair):
        changes = []
        account = limits.MemoryAccount(4_000_000)
        link = links.PeerLink(
            "vm-1",
            "127.0.0.1",
            pair.port,
            make_settings("vm-0", KEY, 2**25, account),
            asyncio.open_connection,
            lambda kind, detail: changes.append((kind, detail)),
        )
        link.start()
        await wait_until(lambda: link.is_connected)
        with pytest.raises(errors.PeerUnreachableError):
            await link.request(make_advert(1), timeout_ms=300)
        reply = await link.request(messages.Body())
        assert reply.config_advert.revision == 1
        assert [kind for kind, _ in changes] == ["link_up", "message_dropped"]
        assert "raise `memory_mb`" in changes[-1][1]
        link.close()

    run(scenario, make_settings("vm-1", KEY, 2**25), handle)


@pytest.mark.parametrize("loses_connection", [False, True])
def test_a_link_that_is_given_up_is_not_left_for_a_garbage_collection(
    loses_connection,
):
    async def scenario(pair):
        with garbage.left_behind() as kinds:
            link = pair.dial()
            await pair.link_up.wait()
            await link.request(make_advert(1))
            if loses_connection:
                pair.server._channels["vm-0"].writer.transport.abort()
                await asyncio.sleep(0.02)
            link.close()
            del link
            await asyncio.sleep(0.05)
        assert "citrondoor.links._peers.PeerLink" not in kinds

    run(scenario)


def test_a_refused_request_leaves_nothing_for_a_garbage_collection():
    async def scenario(pair):
        link = pair.dial()
        await pair.link_up.wait()
        with garbage.left_behind() as kinds:
            with pytest.raises(errors.PeerRefusedError):
                await link.request(messages.Body())
            await asyncio.sleep(0.01)
        assert kinds == []
        link.close()

    run(scenario)
