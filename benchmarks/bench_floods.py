"""Sound callers of a daemon while others flood its processor.

Runs one daemon process and closed-loop callers, first alone, then while another
process floods the daemon. Prints the share of answers that remains, the p99
latency and the daemon's processor time for each answer of both, the longest
delay of the event loop, and the times from SIGTERM to the last log line and to
the exit while the flood goes on.
"""

import asyncio
import contextlib
import multiprocessing
import os
import pathlib
import tempfile
import time

import click
import orjson

from citrondoor.codecs import http1
from tests.platform import deployment as deployments
from tests.soak import floods

SOUND_CALLERS = 8
GRACE_S = 2.0
WARM_UP_S = 4.0
# Until all connections of a flood are open.
FLOOD_START_S = 1.5
EXIT_TIMEOUT_S = 30.0
# Of each caller whose request goes to searchers that flood; it is not shorter
# if they are refused at once.
REQUEST_INTERVAL_S = 1.0
_CALLER_START = b"POST /once/x HTTP/1.1\r\nhost: shop.example\r\n"
_GARBAGE = bytes(range(256)) * 256
# What each connection sends first, and what follows without end.
CALLER_FLOODS = {
    f"callers: {name}": (_CALLER_START + head_end, block)
    for name, (head_end, block) in floods.FRAMINGS.items()
}
PEER_FLOODS = {
    "peers: garbage": (_GARBAGE, _GARBAGE),
    "peers: long frames": ((4096).to_bytes(4, "big"), b"a"),
}
SEGMENTS = {
    "callers: segments of 1 B": (
        _CALLER_START + b"content-length: 262144\r\n\r\n",
        b"a",
    ),
}
# What the searchers of the back end `one` answer; sound callers use others.
SEARCHER_FLOODS = {
    f"searchers: {name}": (b"HTTP/1.1 200 OK\r\n" + head_end, block)
    for name, (head_end, block) in floods.FRAMINGS.items()
}
FLOODS = CALLER_FLOODS | SEGMENTS | PEER_FLOODS | SEARCHER_FLOODS
_GET_ONCE = (
    b"GET /once/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: f%d\r\n\r\n"
)


async def _flood_once(port: int, start: bytes, block: bytes) -> None:
    reader, writer = await asyncio.open_connection(deployments.HOST, port)
    try:
        writer.write(start)
        while not reader.at_eof():
            writer.write(block)
            await writer.drain()
            if len(block) < deployments.LIMITS["max-header-bytes"]:
                await asyncio.sleep(0)
    finally:
        writer.transport.abort()


async def _flood_again(port: int, start: bytes, block: bytes) -> None:
    while True:
        with contextlib.suppress(OSError):
            await _flood_once(port, start, block)
        await asyncio.sleep(0.05)


async def _answer_without_end(name: str, begin, writer) -> None:
    start, block = FLOODS[name]
    with contextlib.suppress(OSError):
        if begin.is_set():
            writer.write(start)
        while begin.is_set() and not writer.is_closing():
            writer.write(block)
            await writer.drain()


async def _request_once(port: int) -> None:
    """Sends requests to the searchers that flood."""
    while True:
        with contextlib.suppress(OSError, EOFError):
            reader, writer = await asyncio.open_connection(
                deployments.HOST, port
            )
            try:
                while True:
                    next_at = time.monotonic() + REQUEST_INTERVAL_S
                    writer.write(_GET_ONCE % time.monotonic_ns())
                    await _read(reader)
                    await asyncio.sleep(next_at - time.monotonic())
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.05)


def _run_searchers(
    port: int, name: str, count: int, searcher_port: int, begin
) -> None:
    """Floods as a searcher that gets requests of `count` callers.

    Until the event `begin` it answers nothing: what these requests cost by
    themselves is not the flood's.
    """

    async def run():
        server = await asyncio.start_server(
            lambda _, writer: _answer_without_end(name, begin, writer),
            deployments.HOST,
            searcher_port,
        )
        async with server:
            await asyncio.gather(*(_request_once(port) for _ in range(count)))

    asyncio.run(run())


def _run_flood(port: int, name: str, count: int) -> None:
    """Floods with `count` connections; the target of a process of its own."""

    async def run():
        await asyncio.gather(
            *(_flood_again(port, *FLOODS[name]) for _ in range(count))
        )

    asyncio.run(run())


class Caller:
    """Sends one request after another on a connection that it keeps.

    Args:
      port: Port of the daemon.

    Attributes:
      latencies_ms: Latencies of its answers with status 200.
    """

    __slots__ = ("_number", "_port", "latencies_ms")

    def __init__(self, port: int):
        self._port = port
        self._number = 0
        self.latencies_ms: list[float] = []

    async def run(self) -> None:
        """Sends until it is cancelled."""
        while True:
            with contextlib.suppress(OSError, EOFError):
                await self._use_connection()
            await asyncio.sleep(0.01)

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(
            deployments.HOST, self._port
        )
        parser = http1.ResponseReader()
        try:
            while True:
                self._number += 1
                headers = [
                    (b"host", b"shop.example"),
                    (b"x-request-id", b"b%d-%d" % (id(self), self._number)),
                ]
                began_at = time.monotonic()
                writer.write(
                    http1.encode_request(b"GET", b"/all/x", headers, b"")
                )
                while not (responses := parser.feed(await _read(reader))):
                    pass
                if responses[0].status == 200:
                    latency_s = time.monotonic() - began_at
                    self.latencies_ms.append(latency_s * 1000)
        finally:
            writer.transport.abort()


async def _read(reader: asyncio.StreamReader) -> bytes:
    data = await reader.read(65_536)
    if not data:
        raise EOFError
    return data


async def _measure_callers(port: int, duration_s: float) -> list[float]:
    callers = [Caller(port) for _ in range(SOUND_CALLERS)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(duration_s)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    return sorted(x for caller in callers for x in caller.latencies_ms)


def _p99(latencies_ms: list[float]) -> float:
    if not latencies_ms:
        return float("inf")
    return latencies_ms[int(len(latencies_ms) * 0.99)]


def _processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    ticks = sum(int(field) for field in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def _processor_ms(spent_s: float, answers: list[float]) -> float:
    """Returns the processor time of the daemon for each answer."""
    return round(spent_s * 1000 / max(1, len(answers)), 3)


async def _measure_exit(daemon: deployments.Daemon) -> float:
    began_at = time.monotonic()
    daemon.process.terminate()
    try:
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            await daemon.process.wait()
    except TimeoutError:
        return float("inf")
    return time.monotonic() - began_at


def _move_searchers(deployment: deployments.Deployment, port: int) -> None:
    address = {"address": f"{deployments.HOST}:{port}"}
    for searcher in deployment.searchers:
        if searcher.service == "one":
            deployment.store.put(
                f"servers/{searcher.id}", searcher.registration() | address
            )


async def measure(
    folder: pathlib.Path,
    name: str,
    count: int,
    duration_s: float,
    warm_up_s: float = WARM_UP_S,
) -> dict[str, float]:
    """Returns the figures of one flood.

    Args:
      folder: Folder for the daemon's settings and log.
      name: Name of the flood.
      count: Its connections.
      duration_s: Time for which callers are measured, alone and beside it.
      warm_up_s: Time for which callers send before that.
    """
    async with deployments.Deployment(
        folder, daemons=1, grace_s=GRACE_S
    ) as deployment:
        daemon = deployment.daemons[0]
        port = daemon.peers if name in PEER_FLOODS else daemon.front
        context = multiprocessing.get_context("spawn")
        target, arguments = _run_flood, (port, name, count)
        begin = context.Event()
        if name in SEARCHER_FLOODS:
            (searcher_port,) = deployments.free_ports(1)
            _move_searchers(deployment, searcher_port)
            target = _run_searchers
            arguments += (searcher_port, begin)
        flood = context.Process(target=target, args=arguments, daemon=True)
        if name in SEARCHER_FLOODS:
            flood.start()
        await _measure_callers(daemon.front, warm_up_s)
        pid = daemon.process.pid
        spent_s = [_processor_s(pid)]
        alone = await _measure_callers(daemon.front, duration_s)
        spent_s.append(_processor_s(pid))
        begin.set()
        if name not in SEARCHER_FLOODS:
            flood.start()
        try:
            await asyncio.sleep(FLOOD_START_S)
            spent_s.append(_processor_s(pid))
            beside = await _measure_callers(daemon.front, duration_s)
            spent_s.append(_processor_s(pid))
            signalled_at = time.time()
            exit_s = await _measure_exit(daemon)
        finally:
            flood.kill()
            flood.join()
        records = daemon.log_records()
    late_ms = [r["loop_late_ms"] for r in records if "loop_late_ms" in r]
    stopped_s = [
        r["at"] / 1000 - signalled_at
        for r in records
        if r["event"] == "stopped"
    ]
    return {
        "answers_alone": len(alone),
        "answers_beside": len(beside),
        "answer_share": round(len(beside) / len(alone), 3),
        "p99_alone_ms": round(_p99(alone), 1),
        "p99_beside_ms": round(_p99(beside), 1),
        "processor_ms_alone": _processor_ms(spent_s[1] - spent_s[0], alone),
        "processor_ms_beside": _processor_ms(spent_s[3] - spent_s[2], beside),
        "loop_late_ms": max(late_ms, default=0),
        "stopped_s": round(max(stopped_s, default=float("inf")), 2),
        "exit_s": round(exit_s, 2),
        "grace_s": GRACE_S,
    }


@click.command()
@click.option("--name", type=click.Choice(sorted(FLOODS)), required=True)
@click.option("--connections", default=20)
@click.option("--seconds", default=5.0)
def main(name: str, connections: int, seconds: float) -> None:
    """Measures one flood."""
    with tempfile.TemporaryDirectory() as folder:
        figures = asyncio.run(
            measure(pathlib.Path(folder), name, connections, seconds)
        )
    report = {"flood": name, "connections": connections} | figures
    click.echo(orjson.dumps(report).decode())


if __name__ == "__main__":
    main()
