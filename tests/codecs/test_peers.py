import asyncio
import itertools
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies

from citrondoor import errors
from citrondoor.codecs import peers
from citrondoor.schema import messages
from citrondoor.schema import serving

KEY = b"k" * 16
MAX_BYTES = 4096
MESSAGE_TYPES = (
    messages.Hello,
    messages.Proof,
    messages.Envelope,
    messages.EntryBeat,
    messages.RelayAsk,
    messages.RelayReplies,
    serving.ViewNews,
)


@hypothesis.given(
    strategies.sampled_from(MESSAGE_TYPES), strategies.binary(max_size=200)
)
def test_random_bytes_give_a_message_or_a_frame_error(message_type, data):
    try:
        assert isinstance(peers.decode(message_type, data), message_type)
    except errors.FrameError as error:
        assert message_type.__name__ in str(error)


@hypothesis.given(
    strategies.integers(0, 80),
    strategies.binary(max_size=4),
)
def test_a_corrupted_message_gives_a_message_or_a_frame_error(
    position, inserted
):
    reply = messages.RelayReply(7, 1, 200, b"s", b"x" * 32, index=0)
    replies = messages.RelayReplies([reply, reply])
    whole = peers.encode(replies)
    assert peers.decode(messages.RelayReplies, whole) == replies
    data = whole[:position] + inserted + whole[position + 1 :]
    try:
        peers.decode(messages.RelayReplies, data)
    except errors.FrameError:
        pass


def read_frames(data: bytes) -> list[bytes]:
    """Returns the payloads that are read before the data is used up."""

    async def body():
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        authenticator = peers.FrameAuthenticator(KEY)
        payloads = []
        try:
            while True:
                payloads.append(
                    await peers.read_frame(reader, authenticator, MAX_BYTES)
                )
        except (asyncio.IncompleteReadError, errors.FrameError):
            return payloads

    return asyncio.run(body())


@hypothesis.given(
    strategies.lists(strategies.binary(max_size=30), min_size=1, max_size=3),
    strategies.integers(0, 200),
    strategies.binary(max_size=4),
)
def test_frames_are_read_as_they_were_sent_up_to_the_first_corrupted_one(
    payloads, position, inserted
):
    authenticator = peers.FrameAuthenticator(KEY)
    frames = [peers.encode_frame(authenticator, p) for p in payloads]
    whole = b"".join(frames)
    assert read_frames(whole) == payloads
    received = read_frames(whole[:position] + inserted + whole[position + 1 :])
    assert received == payloads[: len(received)]


def test_the_length_of_a_frame_is_checked_before_it_is_read():
    # A peer cannot make a daemon wait for, or hold, more than the limit.
    data = (MAX_BYTES + 1).to_bytes(4, "big")

    async def body():
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        with pytest.raises(errors.FrameError, match="4097 bytes"):
            await peers.read_plain_frame(reader, MAX_BYTES)

    asyncio.run(body())


@hypothesis.given(strategies.binary(max_size=2000), strategies.booleans())
def test_messages_are_decompressed_as_they_were_compressed(data, is_repeated):
    message = data * 9 if is_repeated else data
    payload = peers.compress(message)
    assert peers.decompress(payload, 20_000) == message
    assert len(payload) <= len(message) + 1


def test_a_list_of_members_takes_a_third_of_its_bytes_at_most():
    members = [
        messages.Member(
            f"front-tagging-bench-{n}",
            1_770_811_000_000 + 37 * n,
            2,
            messages.MemberState.ALIVE,
            0,
            serving.EntryPlace(
                f"10.7.0.{n}", 8104, 7380, "tagging-bench", "north-mill", True
            ),
        )
        for n in range(64)
    ]
    beat = messages.EntryBeat(
        None, members, serving.ViewStamp(1, 2, 3), 4, True
    )
    message = peers.encode(beat)
    assert 3 * len(peers.compress(message)) <= len(message)


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\2x",
        b"\1",
        b"\1no deflate stream",
        peers.compress(bytes(2000))[:-1],
        # Ten thousand times as long as the frame that brings it.
        peers.compress(bytes(4_000_000)),
    ],
)
def test_malformed_or_long_compressed_messages_are_an_error(payload):
    with pytest.raises(errors.FrameError, match="of a comp|longer decomp"):
        peers.decompress(payload, MAX_BYTES)


@hypothesis.given(strategies.integers(0, 60), strategies.binary(max_size=4))
def test_corrupt_compressed_messages_raise_no_other_error(position, inserted):
    payload = peers.compress(b"".join(b"%d " % n for n in range(400)))
    data = payload[:position] + inserted + payload[position + 1 :]
    try:
        peers.decompress(data, MAX_BYTES)
    except errors.FrameError:
        pass


def test_a_decompressed_message_is_reported_before_it_is_complete():
    # 22 KB became 33.6 MB at once.
    sizes = []
    message = bytes(1_000_000)
    payload = peers.compress(message)
    assert peers.decompress(payload, 1_000_000, sizes.append) == message
    assert sizes[-1] == 1_000_000
    assert max(b - a for a, b in itertools.pairwise([0, *sizes])) <= 65_536
    sizes.clear()
    with pytest.raises(errors.MessageTooLargeError):
        peers.decompress(payload, 100_000, sizes.append)
    assert max(sizes) <= 100_000


@pytest.mark.parametrize(
    "news",
    [
        [serving.UpstreamNews()] * 50_000,
        [serving.UpstreamNews(f"s-{n}", n) for n in range(20_000)],
        [
            serving.UpstreamNews(
                f"s-{n}",
                n,
                serving.Upstream(f"s-{n}", "s", "h", 1, "z", 1, 1, 0, n),
            )
            for n in range(20_000)
        ],
    ],
)
def test_the_estimate_of_a_decoded_message_is_near_what_it_takes(news):
    stamp = serving.ViewStamp(1, 2, 3)
    data = peers.encode(serving.ViewNews(stamp, None, news))
    tracemalloc.start()
    message = peers.decode(serving.ViewNews, data)
    decoded_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(message.upstreams) == len(news)
    estimated_bytes = peers.estimate_decoded_bytes(data)
    assert 0.8 < estimated_bytes / decoded_bytes < 4
