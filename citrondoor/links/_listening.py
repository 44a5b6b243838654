"""Listening sockets that are tried again until the daemon has them.

A port may be in use by another process or by an outgoing connection, and an
interface may get its IP address after the daemon has started. None of it may
end the daemon, and no address waits for another.
"""

import asyncio
import errno
import pathlib
import socket
from collections.abc import Callable

from citrondoor import clock as clocks
from citrondoor.links import _transports

BACKLOG = 1024
# Pause before an address that is not available is tried again.
RETRY_PAUSE_MS = 200
# Pause of accepting after an error, such as that no descriptor is left.
ACCEPT_PAUSE_MS = 100
# Connections accepted in a row before other tasks run.
MAX_ACCEPTS_IN_A_ROW = 64
_STAT_PATH = pathlib.Path("/proc/self/stat")
# Index of `starttime` in `/proc/self/stat`, counted from the field after the
# name of the program; its unit is `_TICKS_PER_S`, which is the same on all
# architectures that Linux supports.
_START_TIME_INDEX = 19
_TICKS_PER_S = 100
_REMEDIES = {
    errno.EADDRINUSE: (
        "another socket has the port: end its process (`ss -tanp` shows it),"
        " or correct the setting"
    ),
    errno.EADDRNOTAVAIL: (
        "no interface has the IP address: add it, or correct the setting"
    ),
    errno.EACCES: "the port needs privileges: choose one above 1023",
    errno.EMFILE: "the process has no descriptor left: raise its limit",
    errno.ENFILE: "the VM has no descriptor left: raise `fs.file-max`",
}
_DEFAULT_REMEDY = "correct the setting of this address"

Serve = Callable[[socket.socket], None]


def open_listener(host: str, port: int) -> socket.socket:
    """Returns a listening, non-blocking socket.

    Args:
      host: IP address.
      port: TCP port; 0 selects a free one.

    Raises:
      OSError: The address is not available.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server(
        (host, port), family=family, backlog=BACKLOG
    )
    listener.setblocking(False)
    return listener


def process_started_at(clock: clocks.Clock) -> int:
    """Returns when the process started, as a reading of `clock.now` in ms.

    It is exact to 10 ms, and the current reading if the kernel doesn't tell.
    """
    try:
        fields = _STAT_PATH.read_text().rpartition(")")[2].split()
        ticks = int(fields[_START_TIME_INDEX])
    except (OSError, ValueError, IndexError):
        return clock.now()
    return ticks * clocks.MS_PER_S // _TICKS_PER_S


def share_local_port(transport: asyncio.BaseTransport) -> None:
    """Lets a listener of this VM use the port of an outgoing connection.

    Linux chooses the port of an outgoing connection, maybe one on which a
    daemon is about to listen. With this option on both sockets, the listener
    gets the port nevertheless, also after the connection has closed.
    """
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)


async def open_connection(
    host: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection whose local port stays usable for a listener."""
    reader, writer = await _transports.open_streams(host, port)
    share_local_port(writer.transport)
    return reader, writer


class Acceptor:
    """Accepts the connections of a listening socket, and pauses after an error.

    asyncio's own accept loop logs an error for each connection that is queued,
    up to the whole backlog in a row, when no descriptor is left.

    Args:
      listener: Listening, non-blocking socket.
      on_connection: Takes over each accepted, non-blocking connection.
      on_error: Called with each error, for example that no descriptor is left.
    """

    __slots__ = ("_listener", "_on_connection", "_on_error", "_resume_timer")

    def __init__(
        self,
        listener: socket.socket,
        on_connection: Callable[[socket.socket], None],
        on_error: Callable[[OSError], None],
    ):
        self._listener = listener
        self._on_connection = on_connection
        self._on_error = on_error
        self._resume_timer: asyncio.TimerHandle | None = None
        self._resume()

    @property
    def port(self) -> int:
        """TCP port of the socket."""
        return self._listener.getsockname()[1]

    @property
    def is_closed(self) -> bool:
        """Whether `close` has been called."""
        return self._listener.fileno() < 0

    def close(self) -> None:
        """Accepts the connections that the kernel has queued, then closes.

        The kernel resets those that are queued when the listening socket is
        closed, although their callers may have sent a request.
        """
        if self.is_closed:
            return
        asyncio.get_running_loop().remove_reader(self._listener)
        # Ends when none is queued or no further one can be opened.
        while self._accept_one():
            pass
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self._listener.close()

    def _resume(self) -> None:
        self._resume_timer = None
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_IN_A_ROW):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Returns whether a further connection may be queued."""
        try:
            connection, _ = self._listener.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True
        except OSError as error:
            self._pause()
            self._on_error(error)
            return False
        connection.setblocking(False)
        self._on_connection(connection)
        return True

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        self._resume_timer = loop.call_later(
            ACCEPT_PAUSE_MS / clocks.MS_PER_S, self._resume
        )


class Listeners:
    """The listening addresses of a daemon.

    Args:
      clock: Clock of the daemon.
      report: Called with an event and its fields: `address_unavailable` at the
        first failure of an address and `listening` at its success.
    """

    __slots__ = (
        "_clock",
        "_listening_ms",
        "_report",
        "_retries",
        "_started_at",
    )

    def __init__(self, clock: clocks.Clock, report: Callable[..., None]):
        self._clock = clock
        self._report = report
        self._started_at = process_started_at(clock)
        # Time from the start of the process, by name of the address.
        self._listening_ms: dict[str, int] = {}
        self._retries: list[asyncio.Task] = []

    def open(self, name: str, host: str, port: int, serve: Serve) -> None:
        """Tries to listen at once, and again in a task until it succeeds.

        Args:
          name: Name of the address, for the log.
          host: IP address.
          port: TCP port.
          serve: Takes over the listening socket.
        """
        try:
            listener = open_listener(host, port)
        except OSError as error:
            self._report(
                "address_unavailable",
                address=name,
                host=host,
                port=port,
                error=str(error),
                remedy=_REMEDIES.get(error.errno, _DEFAULT_REMEDY),
                retry_ms=RETRY_PAUSE_MS,
            )
            self._retries.append(
                asyncio.create_task(self._retry(name, host, port, serve))
            )
            return
        self._begin(name, listener, serve)

    def is_listening(self, name: str) -> bool:
        """Returns whether the daemon listens on an address."""
        return name in self._listening_ms

    def listening_ms(self, name: str) -> int:
        """Returns the ms from the process start to listening; 0 until then."""
        return self._listening_ms.get(name, 0)

    def cancel(self) -> None:
        """Tries no address again."""
        for task in self._retries:
            task.cancel()

    async def _retry(
        self, name: str, host: str, port: int, serve: Serve
    ) -> None:
        while True:
            await asyncio.sleep(RETRY_PAUSE_MS / clocks.MS_PER_S)
            try:
                listener = open_listener(host, port)
            except OSError:
                continue
            self._begin(name, listener, serve)
            return

    def _begin(self, name: str, listener: socket.socket, serve: Serve) -> None:
        serve(listener)
        self._listening_ms[name] = self._clock.now() - self._started_at
        host, port = listener.getsockname()[:2]
        self._report(
            "listening",
            address=name,
            host=host,
            port=port,
            since_start_ms=self._listening_ms[name],
        )
