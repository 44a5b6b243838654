"""Authenticated links between daemons.

The dialing side sends requests and the accepting side sends replies, so each
pair of daemons has one link in each direction. Both sides may send
notifications, which have no reply.

Each dialed link and each accepted connection has a task; the accepting side
also handles each request in a task of its own.
"""

import asyncio
import contextlib
import hashlib
import hmac
import itertools
import secrets
import socket
import sys
from collections.abc import Awaitable
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor import limits
from citrondoor.codecs import peers as codec
from citrondoor.links import _listening
from citrondoor.links import _transports
from citrondoor.schema import messages
from citrondoor.schema import serving

MAX_HANDSHAKE_BYTES = 4096
HANDSHAKE_TIMEOUT_S = 2.0
REDIAL_DELAY_MS = 50
MAX_REDIAL_DELAY_MS = 1000
# A link with more unsent bytes is closed: its peer does not read, and messages
# to it would fill the memory. Within the 64 MB that a daemon may use for
# control; a message is sent whatever its size while there are fewer.
MAX_UNSENT_BYTES = 8_388_608
# The accepting side closes a link without any message for this long, which is
# many heartbeats: a peer whose VM or network was lost cannot close it.
MAX_SILENCE_S = 30.0
# Connections whose handshake is not complete; with more, the oldest is closed.
MAX_HANDSHAKES = 128
# A link whose place a newer one has taken is closed after this long at the
# latest; until then its requests in progress are answered.
REPLACED_GRACE_S = 2.0
# Requests of one link that are handled at the same time; further ones are not
# read until one of them has ended.
MAX_REQUESTS_IN_PROGRESS = 256
# Memory of a request in progress besides its message: its task and its reply.
REQUEST_BYTES = 4096
# Part of the account that one message may take decoded.
MAX_DECODED_SHARE = 0.5
# Less is not recorded in the account.
MIN_RECORDED_BYTES = 65_536

Connector = Callable[[str, int], Awaitable[tuple]]
Handler = Callable[[str, messages.Body], Awaitable[messages.Body]]


class PeerSettings:
    """Settings that all links of this daemon share.

    Args:
      vm: Name of this VM.
      incarnation: Incarnation of this daemon.
      key: Secret key that all daemons of the cluster share.
      max_frame_bytes: Maximum size of a received frame.
      request_timeout_ms: Default timeout of a request.
      account: Where the memory of messages is recorded; None leaves them to the
        limits of each link.
    """

    __slots__ = (
        "account",
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
        account: limits.MemoryAccount | None = None,
    ):
        self.account = account or limits.MemoryAccount()
        self.vm = vm
        self.incarnation = incarnation
        self.key = key
        self.max_frame_bytes = max_frame_bytes
        self.request_timeout_ms = request_timeout_ms


class _Channel:
    """An authenticated connection.

    Args:
      reader: Stream of received bytes.
      writer: Stream of sent bytes.
      hello: The hello message that the peer sent.
      receive_authenticator: Computes the MACs of received frames.
      send_authenticator: Computes the MACs of sent frames.
      settings: Settings that all links share.

    Attributes:
      bytes_sent: Bytes of the frames sent since the owner last added them to
        its total.
      bytes_received: Likewise for received frames, but without their length
        and MAC.
      is_replaced: Whether no further message is read, as a newer link has
        taken the place of this one.
    """

    __slots__ = (
        "_decoded_bytes",
        "_holder",
        "_in_progress_bytes",
        "_max_decoded_bytes",
        "_max_frame_bytes",
        "_partial_bytes",
        "_reader",
        "_receive_authenticator",
        "_send_authenticator",
        "_silence_limit",
        "bytes_received",
        "bytes_sent",
        "hello",
        "is_replaced",
        "writer",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hello: messages.Hello,
        receive_authenticator: codec.FrameAuthenticator,
        send_authenticator: codec.FrameAuthenticator,
        settings: PeerSettings,
    ):
        self._reader = reader
        self.writer = writer
        self.hello = hello
        self._receive_authenticator = receive_authenticator
        self._send_authenticator = send_authenticator
        self._max_frame_bytes = settings.max_frame_bytes
        self._holder = settings.account.open(
            serving.Sender.PEER, writer.transport.abort
        )
        self._max_decoded_bytes = int(
            settings.account.max_bytes * MAX_DECODED_SHARE
        )
        # What the last message takes, until the next one is read.
        self._decoded_bytes = 0
        self._partial_bytes = 0
        self._in_progress_bytes = 0
        self._silence_limit: asyncio.Timeout | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self.is_replaced = False

    def send(self, envelope: messages.Envelope) -> None:
        """Buffers a message for sending; does not wait for a slow peer.

        Closes the link instead if more than `MAX_UNSENT_BYTES` are unsent.
        """
        transport = self.writer.transport
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            transport.abort()
        if transport.is_closing():
            return
        payload = codec.encode(envelope)
        if self.hello.accepts_compression:
            payload = codec.compress(payload)
        data = codec.encode_frame(self._send_authenticator, payload)
        self.bytes_sent += len(data)
        self.writer.write(data)
        self._record_kept()

    async def receive(self) -> messages.Envelope:
        """Waits for the next message and returns it.

        Raises:
          errors.FrameError: A frame or its message is malformed.
          errors.MessageTooLargeError: The message takes too much memory; the
            next one can be read.
        """
        self._record_decoded(0)
        payload = await codec.read_frame(
            self._reader,
            self._receive_authenticator,
            self._max_frame_bytes,
            self._record_partial,
        )
        self.bytes_received += len(payload)
        # Both sides compress if both accept it, and this one always does.
        if self.hello.accepts_compression:
            payload_bytes = len(payload)
            payload = codec.decompress(
                payload,
                min(
                    self._max_frame_bytes,
                    self._max_decoded_bytes // codec.DECODED_BYTES_PER_BYTE,
                ),
                lambda size: self._record_partial(payload_bytes + size),
            )
        decoded_bytes = codec.estimate_decoded_bytes(payload)
        if decoded_bytes > self._max_decoded_bytes:
            raise errors.MessageTooLargeError(
                f"a message of {len(payload)} bytes takes about"
                f" {decoded_bytes} bytes of memory; at most"
                f" {self._max_decoded_bytes} are allowed: raise `memory_mb`"
            )
        self._partial_bytes = 0
        self._record_decoded(len(payload) + decoded_bytes)
        if self.writer.transport.is_closing():
            raise errors.FrameError("a message gave way to others")
        return codec.decode(messages.Envelope, payload)

    async def receive_next(self) -> messages.Envelope | None:
        """Waits for the next message; returns None if the link is replaced.

        Raises:
          TimeoutError: The peer sent no message within `MAX_SILENCE_S`.
        """
        if self.is_replaced:
            return None
        try:
            async with asyncio.timeout(MAX_SILENCE_S) as self._silence_limit:
                return await self.receive()
        except TimeoutError:
            if not self.is_replaced:
                raise
            return None
        finally:
            self._silence_limit = None

    def replace(self) -> None:
        """Reads no further message; a newer link has taken the place."""
        self.is_replaced = True
        loop = asyncio.get_running_loop()
        if self._silence_limit is not None:
            self._silence_limit.reschedule(loop.time())
        loop.call_later(REPLACED_GRACE_S, self.writer.transport.abort)

    async def flush(self) -> None:
        """Sends what is buffered and closes the connection."""
        self.writer.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()

    def begin_request(self) -> int:
        """Records that the last message is a request in progress.

        Returns:
          What it takes in memory, for `end_request`.
        """
        kept_bytes, self._decoded_bytes = self._decoded_bytes, 0
        kept_bytes += REQUEST_BYTES
        self._in_progress_bytes += kept_bytes
        self._record_kept()
        return kept_bytes

    def end_request(self, kept_bytes: int) -> None:
        """Records the end of a request."""
        self._in_progress_bytes -= kept_bytes
        self._record_kept()

    def close(self) -> None:
        """Closes the connection at once."""
        self.writer.transport.abort()
        self._holder.close()

    def _record_partial(self, received_bytes: int) -> None:
        self._partial_bytes = received_bytes
        self._record_kept()

    def _record_decoded(self, decoded_bytes: int) -> None:
        self._decoded_bytes = decoded_bytes
        self._record_kept()

    def _record_kept(self) -> None:
        transport = self.writer.transport
        kept_bytes = (
            self._partial_bytes
            + self._decoded_bytes
            + self._in_progress_bytes
            + transport.get_write_buffer_size()
        )
        if kept_bytes < MIN_RECORDED_BYTES or transport.is_closing():
            kept_bytes = 0
        if kept_bytes != self._holder.kept_bytes:
            # The peer may never send the rest of a frame, nor read a reply. A
            # message that is decoded is released soon.
            self._holder.record(kept_bytes, is_endless=not self._decoded_bytes)


async def _perform_handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    settings: PeerSettings,
    is_dialer: bool,
) -> _Channel:
    """Checks on both sides that the other has the cluster key.

    Raises:
      errors.PeerRefusedError: The peer has another key.
      errors.FrameError: The peer sent a frame that is too long or malformed.
    """
    nonce = secrets.token_bytes(codec.NONCE_BYTES)
    own = messages.Hello(settings.vm, settings.incarnation, nonce, True)
    own_data = codec.encode(own)
    writer.write(codec.encode_plain_frame(own_data))
    peer_data = await codec.read_plain_frame(reader, MAX_HANDSHAKE_BYTES)
    peer = codec.decode(messages.Hello, peer_data)
    # Both keys are derived from both hellos, so the proofs fail if a name or a
    # nonce was replaced on the way.
    hellos = own_data + peer_data if is_dialer else peer_data + own_data
    dialer_key = codec.derive_key(settings.key, "dialer", hellos)
    acceptor_key = codec.derive_key(settings.key, "acceptor", hellos)
    own_key, peer_key = (
        (dialer_key, acceptor_key) if is_dialer else (acceptor_key, dialer_key)
    )
    proof = messages.Proof(hmac.digest(own_key, b"proof", hashlib.sha256))
    writer.write(codec.encode_plain_frame(codec.encode(proof)))
    received = codec.decode(
        messages.Proof,
        await codec.read_plain_frame(reader, MAX_HANDSHAKE_BYTES),
    )
    expected = hmac.digest(peer_key, b"proof", hashlib.sha256)
    if not hmac.compare_digest(received.mac, expected):
        raise errors.PeerRefusedError(
            f"{peer.vm!r} has another cluster key; configure the same key on"
            " all daemons"
        )
    return _Channel(
        reader,
        writer,
        peer,
        codec.FrameAuthenticator(peer_key),
        codec.FrameAuthenticator(own_key),
        settings,
    )


class PeerLink:
    """A link that this daemon dials to one peer, and redials when it is lost.

    Args:
      name: Name of the peer's VM; empty when only the address is known.
      address: IP address of the peer.
      port: Its peer port.
      settings: Settings that all links share.
      connector: Opens a connection; tests replace it to simulate lost links.
      on_state_change: Called with `link_up` or `link_down` and the peer's name,
        and with `message_dropped` and why a message was not decoded.
      on_notification: Called with the peer's name and each notification that
        it sends on this link.
    """

    __slots__ = (
        "_address",
        "_channel",
        "_connector",
        "_is_connected",
        "_on_notification",
        "_on_state_change",
        "_pending_replies",
        "_port",
        "_request_ids",
        "_settings",
        "_task",
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
        self._request_ids = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[messages.Body]] = {}
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
        """Stops the link's task, which closes the connection."""
        if self._task is not None:
            self._task.cancel()
            # It keeps the cancellation, whose frames refer to this link.
            self._task = None

    async def wait_connected(self) -> None:
        """Waits until the link is up.

        Raises:
          errors.PeerUnreachableError: It was not up within the request timeout.
        """
        timeout_s = self._settings.request_timeout_ms / clocks.MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                await self._is_connected.wait()
        except TimeoutError as error:
            raise _make_unreachable_error(self.name) from error

    async def request(
        self, body: messages.Body, timeout_ms: int = 0
    ) -> messages.Body:
        """Sends a request and returns the peer's reply.

        Args:
          body: The request.
          timeout_ms: Timeout; 0 means the timeout of the settings.

        Raises:
          errors.PeerUnreachableError: The link is down, or no reply came in
            time.
          errors.PeerRefusedError: The peer refused the request.
        """
        if self._channel is None:
            raise _make_unreachable_error(self.name)
        request_id = next(self._request_ids)
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[request_id] = future
        effective_timeout_ms = timeout_ms or self._settings.request_timeout_ms
        try:
            self._channel.send(messages.Envelope(request_id, 0, body))
            async with asyncio.timeout(effective_timeout_ms / clocks.MS_PER_S):
                reply = await future
        except TimeoutError as error:
            raise _make_unreachable_error(self.name) from error
        finally:
            self._pending_replies.pop(request_id, None)
        if reply.refused is not None:
            raise errors.PeerRefusedError(
                f"{self.name!r} refused: {reply.refused.reason}"
            )
        return reply

    def notify(self, body: messages.Body) -> bool:
        """Sends a notification; returns False if the link is down."""
        if self._channel is None:
            return False
        self._channel.send(messages.Envelope(0, 0, body))
        return True

    async def _run(self) -> None:
        delay_ms = REDIAL_DELAY_MS
        while True:
            try:
                await self._connect()
                delay_ms = REDIAL_DELAY_MS
                await self._receive()
            except (OSError, EOFError, TimeoutError, errors.CitrondoorError):
                # `_disconnect` reports the loss of the link.
                pass
            except Exception as error:  # noqa: BLE001
                # Whatever a peer sends must not end the task that redials.
                self._on_state_change("link_failed", f"{self.name}: {error!r}")
            finally:
                self._disconnect()
            await asyncio.sleep(delay_ms / clocks.MS_PER_S)
            delay_ms = min(MAX_REDIAL_DELAY_MS, delay_ms * 2)

    async def _connect(self) -> None:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await self._connector(self._address, self._port)
            try:
                channel = await _perform_handshake(
                    reader, writer, self._settings, is_dialer=True
                )
            except BaseException:
                writer.close()
                raise
        if self.name and channel.hello.vm != self.name:
            writer.close()
            raise errors.PeerRefusedError(
                f"{self._address}:{self._port} is {channel.hello.vm!r}, not"
                f" {self.name!r}; correct the configured address of"
                f" {self.name!r}"
            )
        self.name = channel.hello.vm
        self._channel = channel
        self._is_connected.set()
        self._on_state_change("link_up", self.name)

    async def _receive(self) -> None:
        channel = self._channel
        while True:
            try:
                envelope = await channel.receive()
            except errors.MessageTooLargeError as error:
                self._on_state_change(
                    "message_dropped", f"{self.name}: {error}"
                )
                continue
            self.bytes_sent += channel.bytes_sent
            self.bytes_received += channel.bytes_received
            channel.bytes_sent = channel.bytes_received = 0
            if not envelope.reply_to and self._on_notification is not None:
                self._on_notification(self.name, envelope.body)
                continue
            future = self._pending_replies.pop(envelope.reply_to, None)
            if future is not None and not future.done():
                future.set_result(envelope.body)

    def _disconnect(self) -> None:
        channel, self._channel = self._channel, None
        self._is_connected.clear()
        if channel is None:
            return
        channel.close()
        for future in self._pending_replies.values():
            if not future.done():
                future.set_exception(_make_unreachable_error(self.name))
        self._on_state_change("link_down", self.name)


class PeerServer:
    """Accepts links of peers and replies to their requests.

    Args:
      settings: Settings that all links share.
      handler: Takes the sender's name and a request; returns the reply.
      on_protocol_error: Called once for each connection closed because of a
        failed authentication, a malformed frame or a timeout, and for each
        request on which the handler failed unexpectedly.
      on_notification: Called with the sender's name and each notification.
      on_disconnect: Called with the name of a peer whose last link has closed.
      bound: Bounds the links from and to peers.
      is_member: Returns whether a VM is a member that is alive, whose links do
        not give way to others.
      count_dialled: Returns the number of links that this daemon opened.
    """

    __slots__ = (
        "_acceptor",
        "_bound",
        "_channels",
        "_clock",
        "_count_dialled",
        "_handler",
        "_handshakes",
        "_is_member",
        "_on_disconnect",
        "_on_notification",
        "_on_protocol_error",
        "_opening_count",
        "_settings",
        "_tasks",
        "_uses",
        "accept_failures",
        "bytes_received",
        "bytes_sent",
    )

    def __init__(
        self,
        settings: PeerSettings,
        handler: Handler,
        on_protocol_error: Callable[[], None],
        on_notification: Callable[[str, messages.Body], None] | None = None,
        on_disconnect: Callable[[str], None] = lambda name: None,
        bound: limits.LinkBound | None = None,
        is_member: Callable[[str], bool] = lambda name: True,
        count_dialled: Callable[[], int] = lambda: 0,
    ):
        self._bound = bound or limits.LinkBound(sys.maxsize)
        self._is_member = is_member
        self._count_dialled = count_dialled
        self._clock = clocks.Clock()
        self._settings = settings
        self._handler = handler
        self._on_disconnect = on_disconnect
        self._on_protocol_error = on_protocol_error
        self._on_notification = on_notification
        self._acceptor: _listening.Acceptor | None = None
        # The newest connection of each peer, by its name.
        self._channels: dict[str, _Channel] = {}
        self._tasks: set[asyncio.Task] = set()
        # Tasks of connections whose handshake is not complete, oldest first.
        self._handshakes: dict[asyncio.Task, None] = {}
        # Accepted connections that are being opened, and all that are open with
        # their channels once the handshake is complete, the oldest first.
        self._opening_count = 0
        self._uses: dict[limits.LinkUse, _Channel | None] = {}
        self.accept_failures = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._acceptor.port

    async def start(self, address: str, port: int) -> None:
        """Starts to listen; port 0 picks a free port."""
        self.serve(_listening.open_listener(address, port))

    def serve(self, listener: socket.socket) -> None:
        """Accepts links on a listening, non-blocking socket."""
        self._acceptor = _listening.Acceptor(
            listener, self._open_streams, self._on_accept_error
        )

    def is_linked(self, name: str) -> bool:
        """Returns whether a peer has a link to this daemon."""
        return name in self._channels

    def notify(self, name: str, body: messages.Body) -> bool:
        """Notifies a peer on its link; returns False if it has none."""
        channel = self._channels.get(name)
        if channel is None:
            return False
        channel.send(messages.Envelope(0, 0, body))
        self.bytes_sent += channel.bytes_sent
        channel.bytes_sent = 0
        return True

    async def close(self) -> None:
        """Stops listening and closes all links."""
        if self._acceptor is not None:
            self._acceptor.close()
        for task in list(self._tasks):
            task.cancel()

    def _on_accept_error(self, error: OSError) -> None:
        self.accept_failures += 1

    def _open_streams(self, connection: socket.socket) -> None:
        if not self._make_room():
            connection.close()
            return
        loop = asyncio.get_running_loop()
        protocol = _transports.StreamProtocol(
            asyncio.StreamReader(), self._accept
        )
        task = asyncio.create_task(
            loop.connect_accepted_socket(lambda: protocol, connection)
        )
        self._opening_count += 1
        self._tasks.add(task)
        task.add_done_callback(self._on_opened)
        # A task that is cancelled before it has begun leaves it open.
        task.add_done_callback(
            lambda done: connection.close() if done.cancelled() else None
        )

    def _on_opened(self, task: asyncio.Task) -> None:
        self._opening_count -= 1
        self._tasks.discard(task)

    def _make_room(self) -> bool:
        """Returns whether a further connection may be opened."""
        link_count = (
            self._opening_count + len(self._uses) + self._count_dialled()
        )
        admission, loser = self._bound.admit(
            link_count, self._uses, self._is_member, self._clock.now()
        )
        if loser is not None:
            del self._uses[loser]
            loser.give_way()
        return admission is not limits.Admission.CLOSE

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._acceptor.is_closed:
            # Accepted just before `close`, which could not cancel its task.
            writer.transport.abort()
            return
        # asyncio logs the cancellation of tasks that it creates for connections
        # as an error, so this creates the task itself.
        use = limits.LinkUse(self._clock.now(), lambda: task.cancel())
        task = asyncio.create_task(self._serve(reader, writer, use))
        self._uses[use] = None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self._uses.pop(use, None))
        if len(self._handshakes) >= MAX_HANDSHAKES:
            oldest = next(iter(self._handshakes))
            del self._handshakes[oldest]
            oldest.cancel()
            self._on_protocol_error()
        self._handshakes[task] = None
        task.add_done_callback(lambda done: self._handshakes.pop(done, None))
        # Not at the end of the task itself, which may be cancelled before it
        # has begun.
        task.add_done_callback(lambda _: writer.transport.abort())

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        use: limits.LinkUse,
    ) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                channel = await _perform_handshake(
                    reader, writer, self._settings, is_dialer=False
                )
            self._handshakes.pop(asyncio.current_task(), None)
            await self._serve_channel(channel, use)
        except* (OSError, EOFError):
            pass
        except* Exception:
            # Includes `TimeoutError`s of the handshake's time limit.
            self._on_protocol_error()

    async def _serve_channel(
        self, channel: _Channel, use: limits.LinkUse
    ) -> None:
        name = channel.hello.vm
        self._channels[name] = channel
        use.peer = (name, channel.hello.incarnation)
        use.give_way = channel.close
        if use in self._uses:
            self._uses[use] = channel
            replaced = self._bound.choose_replaced(self._uses, use)
            if replaced is not None:
                self._uses[replaced].replace()
        try:
            await self._process_messages(channel, use)
            await channel.flush()
        finally:
            channel.close()
            self._uses.pop(use, None)
            if self._channels.get(name) is channel:
                self._forget_newest(name)

    def _forget_newest(self, name: str) -> None:
        """Replaces the newest channel of a peer by the one before, if any."""
        for channel in reversed(self._uses.values()):
            if (
                channel is not None
                and channel.hello.vm == name
                and not channel.is_replaced
            ):
                self._channels[name] = channel
                return
        del self._channels[name]
        self._on_disconnect(name)

    async def _process_messages(
        self, channel: _Channel, use: limits.LinkUse
    ) -> None:
        requests: set[asyncio.Task] = set()
        async with asyncio.TaskGroup() as group:
            while True:
                if len(requests) >= MAX_REQUESTS_IN_PROGRESS:
                    await asyncio.wait(
                        requests, return_when=asyncio.FIRST_COMPLETED
                    )
                try:
                    envelope = await channel.receive_next()
                except errors.MessageTooLargeError:
                    self._on_protocol_error()
                    continue
                if envelope is None:
                    return
                use.heard_at = self._clock.now()
                self.bytes_received += channel.bytes_received
                channel.bytes_received = 0
                if not envelope.id and self._on_notification is not None:
                    self._on_notification(channel.hello.vm, envelope.body)
                    continue
                # A handler may wait for other requests, so it runs in its own
                # task and does not delay the next message.
                kept_bytes = channel.begin_request()
                request = group.create_task(self._send_reply(channel, envelope))
                requests.add(request)
                request.add_done_callback(requests.discard)
                request.add_done_callback(
                    lambda _, size=kept_bytes: channel.end_request(size)
                )

    async def _send_reply(
        self, channel: _Channel, envelope: messages.Envelope
    ) -> None:
        try:
            body = await self._handler(channel.hello.vm, envelope.body)
            channel.send(messages.Envelope(0, envelope.id, body))
        except Exception as error:  # noqa: BLE001
            # One message that cannot be handled, or whose reply cannot be
            # encoded, must not end the link, which carries other requests.
            if isinstance(error, errors.CitrondoorError):
                reason = str(error)
            else:
                self._on_protocol_error()
                reason = repr(error)
            body = messages.Body(refused=messages.Refused(reason))
            channel.send(messages.Envelope(0, envelope.id, body))
        self.bytes_sent += channel.bytes_sent
        channel.bytes_sent = 0


def _make_unreachable_error(name: str) -> errors.PeerUnreachableError:
    return errors.PeerUnreachableError(
        f"{name!r} does not reply; check its VM and the network between zones"
    )
