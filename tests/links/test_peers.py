import asyncio

import pytest

from citrondoor import errors
from citrondoor import links
from citrondoor.codecs import peers as codec
from citrondoor.schema import messages

KEY = b"k" * 16


def settings_of(vm: str, key: bytes = KEY) -> links.PeerSettings:
    return links.PeerSettings(vm, 1, key, 4096, 2000)


async def echo(sender: str, body: messages.Body) -> messages.Body:
    if body.config_advert is None:
        raise errors.PeerRefusedError("only adverts")
    revision = body.config_advert.revision + 1
    return messages.Body(config_advert=messages.ConfigAdvert(revision))


class Pair:
    """A server and what dials it."""

    def __init__(self):
        self.protocol_error_count = 0
        self.up = asyncio.Event()
        self.server = links.PeerServer(
            settings_of("vm-1"), echo, self.on_protocol_error
        )
        self.port = 0

    def on_protocol_error(self) -> None:
        self.protocol_error_count += 1

    def on_link(self, kind: str, name: str) -> None:
        if kind == "link_up":
            self.up.set()

    async def start(self) -> None:
        await self.server.start("127.0.0.1", 0)
        self.port = self.server.port

    def dial(self, key: bytes = KEY, name: str = "vm-1") -> links.PeerLink:
        link = links.PeerLink(
            name,
            "127.0.0.1",
            self.port,
            settings_of("vm-0", key),
            asyncio.open_connection,
            self.on_link,
        )
        link.start()
        return link


def advert(revision: int) -> messages.Body:
    return messages.Body(config_advert=messages.ConfigAdvert(revision))


def run(scenario) -> None:
    async def wrapped():
        pair = Pair()
        await pair.start()
        try:
            await scenario(pair)
        finally:
            await pair.server.close()

    asyncio.run(wrapped())


def test_questions_are_matched_with_their_replies():
    async def scenario(pair):
        link = pair.dial()
        await pair.up.wait()
        replies = await asyncio.gather(
            *(link.request(advert(n)) for n in range(50))
        )
        got = [reply.config_advert.revision for reply in replies]
        assert got == list(range(1, 51))
        with pytest.raises(errors.PeerRefusedError, match="only adverts"):
            await link.request(messages.Body())
        link.close()

    run(scenario)


def test_a_link_that_is_down_refuses_at_once():
    async def scenario(pair):
        link = pair.dial()
        await pair.up.wait()
        link.close()
        while link.is_connected:
            await asyncio.sleep(0)
        with pytest.raises(errors.PeerUnreachableError, match="does not reply"):
            await link.request(advert(1))

    run(scenario)


async def wait_for_garbage(pair) -> None:
    while not pair.protocol_error_count:
        await asyncio.sleep(0)


def test_another_key_is_refused():
    async def scenario(pair):
        link = pair.dial(key=b"x" * 16)
        await wait_for_garbage(pair)
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
def test_garbage_closes_only_its_own_connection(data):
    async def scenario(pair):
        link = pair.dial()
        await pair.up.wait()
        reader, writer = await asyncio.open_connection("127.0.0.1", pair.port)
        writer.write(data)
        await wait_for_garbage(pair)
        reply = await link.request(advert(6))
        assert reply.config_advert.revision == 7
        writer.close()
        link.close()

    run(scenario)


def test_a_repeated_frame_does_not_verify():
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
    with pytest.raises(errors.FrameError, match=r"peers\.key"):
        asyncio.run(read(frame))


def test_a_message_survives_its_frame():
    message = messages.Envelope(3, 0, advert(9))
    assert codec.decode(messages.Envelope, codec.encode(message)) == message
