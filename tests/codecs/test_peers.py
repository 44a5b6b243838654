import asyncio

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
