"""Authenticated links between daemons: one task for each peer.

The dialing side asks and the accepting side replies; each pair of daemons has
one link in each direction.
"""

import asyncio
import hashlib
import hmac
import itertools
import secrets
from collections.abc import Awaitable
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor.codecs import peers as codec
from citrondoor.schema import messages

HANDSHAKE_BYTES = 4096
HANDSHAKE_TIMEOUT_S = 2.0
REDIAL_PAUSE_MS = 50
MAX_REDIAL_PAUSE_MS = 1000

Connector = Callable[[str, int], Awaitable[tuple]]
Handler = Callable[[str, messages.Body], Awaitable[messages.Body]]


class PeerSettings:
    """What every link of this daemon needs.

    Args:
      vm: Name of this VM.
      incarnation: This incarnation.
      key: Key of the fleet.
      max_frame_bytes: Longest frame.
      request_timeout_ms: Longest wait for a reply, in milliseconds.
    """

    __slots__ = (
        "incarnation",
        "key",
        "max_frame_bytes",
        "request_timeout_ms",
        "vm",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        key: bytes,
        max_frame_bytes: int,
        request_timeout_ms: int,
    ):
        self.vm = vm
        self.incarnation = incarnation
        self.key = key
        self.max_frame_bytes = max_frame_bytes
        self.request_timeout_ms = request_timeout_ms


class _Channel:
    """An authenticated connection.

    Args:
      reader: Reads from the peer.
      writer: Writes to the peer.
      hello: How the peer introduced itself.
      inbound: Codes of received frames.
      outbound: Codes of sent frames.
      max_frame_bytes: Longest frame.
    """

    __slots__ = (
        "_inbound",
        "_max_frame_bytes",
        "_outbound",
        "_reader",
        "bytes_received",
        "bytes_sent",
        "hello",
        "writer",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hello: messages.Hello,
        inbound: codec.FrameAuthenticator,
        outbound: codec.FrameAuthenticator,
        max_frame_bytes: int,
    ):
        self._reader = reader
        self.writer = writer
        self.hello = hello
        self._inbound = inbound
        self._outbound = outbound
        self._max_frame_bytes = max_frame_bytes
        self.bytes_sent = 0
        self.bytes_received = 0

    def send(self, envelope: messages.Envelope) -> None:
        """Sends one message; slow peers are buffered for."""
        data = codec.encode_frame(self._outbound, codec.encode(envelope))
        self.bytes_sent += len(data)
        self.writer.write(data)

    async def receive(self) -> messages.Envelope:
        """Returns the next message."""
        payload = await codec.read_frame(
            self._reader, self._inbound, self._max_frame_bytes
        )
        self.bytes_received += len(payload)
        return codec.decode(messages.Envelope, payload)


async def _shake_hands(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    settings: PeerSettings,
    is_dialer: bool,
) -> _Channel:
    """Proves to each side that the other has the fleet's key."""
    nonce = secrets.token_bytes(codec.NONCE_BYTES)
    own = messages.Hello(settings.vm, settings.incarnation, nonce)
    own_data = codec.encode(own)
    writer.write(codec.encode_plain_frame(own_data))
    peer_data = await codec.read_plain_frame(reader, HANDSHAKE_BYTES)
    peer = codec.decode(messages.Hello, peer_data)
    # Both hellos enter both keys: neither name nor nonce can be swapped.
    hellos = own_data + peer_data if is_dialer else peer_data + own_data
    dialer_key = codec.derive_key(settings.key, "dialer", hellos)
    acceptor_key = codec.derive_key(settings.key, "acceptor", hellos)
    own_key, peer_key = (
        (dialer_key, acceptor_key) if is_dialer else (acceptor_key, dialer_key)
    )
    proof = messages.Proof(hmac.digest(own_key, b"proof", hashlib.sha256))
    writer.write(codec.encode_plain_frame(codec.encode(proof)))
    received = codec.decode(
        messages.Proof, await codec.read_plain_frame(reader, HANDSHAKE_BYTES)
    )
    expected = hmac.digest(peer_key, b"proof", hashlib.sha256)
    if not hmac.compare_digest(received.mac, expected):
        raise errors.PeerRefusedError(
            f"{peer.vm!r} has another fleet key; give every daemon the same"
            " `peers.key`"
        )
    return _Channel(
        reader,
        writer,
        peer,
        codec.FrameAuthenticator(peer_key),
        codec.FrameAuthenticator(own_key),
        settings.max_frame_bytes,
    )


class PeerLink:
    """The link on which this daemon asks one peer.

    Args:
      name: Name of the peer's VM; empty when only the address is known.
      address: IP number of the peer.
      port: Its peer port.
      settings: What every link needs.
      connector: Opens a connection; tests cut links here.
      on_state_change: Called with `link_up` or `link_down` and the peer's name.
      on_notification: Takes the notes that the peer sends back, with its name.
    """

    __slots__ = (
        "_address",
        "_channel",
        "_connector",
        "_is_connected",
        "_numbers",
        "_on_notification",
        "_on_state_change",
        "_port",
        "_settings",
        "_task",
        "_waiting",
        "bytes_received",
        "bytes_sent",
        "name",
    )

    def __init__(
        self,
        name: str,
        address: str,
        port: int,
        settings: PeerSettings,
        connector: Connector,
        on_state_change: Callable[[str, str], None],
        on_notification: Callable[[str, messages.Body], None] | None = None,
    ):
        self.name = name
        self._address = address
        self._port = port
        self._settings = settings
        self._connector = connector
        self._on_state_change = on_state_change
        self._on_notification = on_notification
        self._channel: _Channel | None = None
        self._is_connected = asyncio.Event()
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[messages.Body]] = {}
        self._task: asyncio.Task | None = None
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def is_connected(self) -> bool:
        """Whether a message can be sent now."""
        return self._channel is not None

    @property
    def endpoint(self) -> tuple[str, int]:
        """Address and port that the link dials."""
        return (self._address, self._port)

    def start(self) -> None:
        """Starts the link's task."""
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Ends the link's task."""
        if self._task is not None:
            self._task.cancel()

    async def wait_connected(self) -> None:
        """Waits until a new link is up.

        Raises:
          errors.PeerUnreachableError: It did not come up in time.
        """
        limit_s = self._settings.request_timeout_ms / clocks.MS_PER_S
        try:
            async with asyncio.timeout(limit_s):
                await self._is_connected.wait()
        except TimeoutError as error:
            raise _unreachable(self.name) from error

    async def request(
        self, body: messages.Body, timeout_ms: int = 0
    ) -> messages.Body:
        """Returns the peer's reply.

        Args:
          body: The question.
          timeout_ms: Longest wait; 0 takes the one of the settings.

        Raises:
          errors.PeerUnreachableError: The link is down or no reply came.
          errors.PeerRefusedError: The peer could not answer the question.
        """
        if self._channel is None:
            raise _unreachable(self.name)
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        limit_ms = timeout_ms or self._settings.request_timeout_ms
        try:
            self._channel.send(messages.Envelope(number, 0, body))
            async with asyncio.timeout(limit_ms / clocks.MS_PER_S):
                reply = await future
        except TimeoutError as error:
            raise _unreachable(self.name) from error
        finally:
            self._waiting.pop(number, None)
        if reply.refused is not None:
            raise errors.PeerRefusedError(
                f"{self.name!r} refused: {reply.refused.reason}"
            )
        return reply

    def notify(self, body: messages.Body) -> bool:
        """Sends a note, which has no reply; returns whether the link is up."""
        if self._channel is None:
            return False
        self._channel.send(messages.Envelope(0, 0, body))
        return True

    async def _run(self) -> None:
        pause_ms = REDIAL_PAUSE_MS
        while True:
            try:
                await self._connect()
                pause_ms = REDIAL_PAUSE_MS
                await self._receive()
            except (OSError, EOFError, TimeoutError, errors.CitrondoorError):
                pass
            finally:
                self._disconnect()
            await asyncio.sleep(pause_ms / clocks.MS_PER_S)
            pause_ms = min(MAX_REDIAL_PAUSE_MS, pause_ms * 2)

    async def _connect(self) -> None:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await self._connector(self._address, self._port)
            try:
                channel = await _shake_hands(
                    reader, writer, self._settings, is_dialer=True
                )
            except BaseException:
                writer.close()
                raise
        if self.name and channel.hello.vm != self.name:
            writer.close()
            raise errors.PeerRefusedError(
                f"{self._address}:{self._port} is {channel.hello.vm!r} and not"
                f" {self.name!r}; correct `vms`"
            )
        self.name = channel.hello.vm
        self._channel = channel
        self._is_connected.set()
        self._on_state_change("link_up", self.name)

    async def _receive(self) -> None:
        channel = self._channel
        while True:
            envelope = await channel.receive()
            self.bytes_sent += channel.bytes_sent
            self.bytes_received += channel.bytes_received
            channel.bytes_sent = channel.bytes_received = 0
            if not envelope.reply_to and self._on_notification is not None:
                self._on_notification(self.name, envelope.body)
                continue
            future = self._waiting.pop(envelope.reply_to, None)
            if future is not None and not future.done():
                future.set_result(envelope.body)

    def _disconnect(self) -> None:
        channel, self._channel = self._channel, None
        self._is_connected.clear()
        if channel is None:
            return
        channel.writer.transport.abort()
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(_unreachable(self.name))
        self._on_state_change("link_down", self.name)


class PeerServer:
    """Accepts the links of peers and replies to their questions.

    Args:
      settings: What every link needs.
      handler: Returns the reply to a question of a peer.
      on_protocol_error: Called once for each connection that broke the
        protocol.
      on_notification: Takes the notes of peers, with the sender's name.
    """

    __slots__ = (
        "_channels",
        "_handler",
        "_on_notification",
        "_on_protocol_error",
        "_server",
        "_settings",
        "_tasks",
        "bytes_received",
        "bytes_sent",
    )

    def __init__(
        self,
        settings: PeerSettings,
        handler: Handler,
        on_protocol_error: Callable[[], None],
        on_notification: Callable[[str, messages.Body], None] | None = None,
    ):
        self._settings = settings
        self._handler = handler
        self._on_protocol_error = on_protocol_error
        self._on_notification = on_notification
        self._server: asyncio.Server | None = None
        # The newest link of each peer.
        self._channels: dict[str, _Channel] = {}
        self._tasks: set[asyncio.Task] = set()
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def port(self) -> int:
        """TCP port that it listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, address: str, port: int) -> None:
        """Listens for peers; port 0 takes a free one."""
        self._server = await asyncio.start_server(self._accept, address, port)

    def notify(self, name: str, body: messages.Body) -> bool:
        """Sends a note on the link of a peer; returns whether it has one."""
        channel = self._channels.get(name)
        if channel is None:
            return False
        channel.send(messages.Envelope(0, 0, body))
        self.bytes_sent += channel.bytes_sent
        channel.bytes_sent = 0
        return True

    async def close(self) -> None:
        """Stops listening and closes all links."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A task of our own: the library logs a cancelled one as an error.
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                channel = await _shake_hands(
                    reader, writer, self._settings, is_dialer=False
                )
            await self._answer_on(channel)
        except* (errors.FrameError, errors.PeerRefusedError, TimeoutError):
            self._on_protocol_error()
        except* (OSError, EOFError):
            pass
        finally:
            writer.transport.abort()

    async def _answer_on(self, channel: _Channel) -> None:
        name = channel.hello.vm
        self._channels[name] = channel
        try:
            await self._answer(channel)
        finally:
            # A peer that has linked again has another one by now.
            if self._channels.get(name) is channel:
                del self._channels[name]

    async def _answer(self, channel: _Channel) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                envelope = await channel.receive()
                self.bytes_received += channel.bytes_received
                channel.bytes_received = 0
                if not envelope.id and self._on_notification is not None:
                    self._on_notification(channel.hello.vm, envelope.body)
                    continue
                # A question may wait for others: it must not hold up the next.
                group.create_task(self._reply(channel, envelope))

    async def _reply(
        self, channel: _Channel, envelope: messages.Envelope
    ) -> None:
        try:
            body = await self._handler(channel.hello.vm, envelope.body)
        except errors.CitrondoorError as error:
            body = messages.Body(refused=messages.Refused(str(error)))
        channel.send(messages.Envelope(0, envelope.id, body))
        self.bytes_sent += channel.bytes_sent
        channel.bytes_sent = 0


def _unreachable(name: str) -> errors.PeerUnreachableError:
    return errors.PeerUnreachableError(
        f"{name!r} does not reply; check its VM and the network between zones"
    )
