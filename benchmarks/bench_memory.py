"""Peak memory of a daemon while one kind of sender is in trouble.

Runs one daemon process with `memory_mb` 300, sends sound requests all the time,
and lets callers, a peer or the store send messages without an end. Prints the
peak resident memory and the share of sound requests answered with status 200.
"""

import asyncio
import base64
import contextlib
import functools
import hashlib
import hmac
import multiprocessing
import pathlib
import tempfile

import click
import orjson
import yaml

from citrondoor.codecs import http1
from citrondoor.codecs import peers as peer_codec
from citrondoor.schema import messages
from citrondoor.schema import serving
from tests.platform import deployment as deployments

MEMORY_MB = 300
SOUND_REQUESTS_PER_S = 20
# Time before the trouble begins, in seconds.
CALM_S = 1.0
LARGE_ANSWER_BYTES = 8_000_000
SEARCHERS = 5000
SMALL_STRUCTS = 10_000_000
_KB_PER_MB = 1024
_HEAD = b"POST /once/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: t\r\n"
_GET = b"GET /once/x HTTP/1.1\r\nhost: shop.example\r\nx-request-id: p\r\n\r\n"
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_RESPONSE = b"HTTP/1.1 200 OK\r\n"
# For each framing: what is sent first, what follows, how often, and the pause
# between in seconds.
CALLER_FRAMINGS = {
    "body": (
        _HEAD + b"content-length: 262144\r\n\r\n",
        b"x" * 21_000,
        10,
        0.0,
    ),
    "chunks": (_HEAD + _CHUNKED, b"1\r\nx\r\n" * 20, 500, 0.2),
    "head": (_HEAD + b"x-a: ", b"x" * 1000, 15, 0.2),
    "headers": (_HEAD, b"a:\r\n" * 360, 10, 0.01),
    "pipeline": (b"", _GET * 1000, 20, 0.0),
    "unread": (b"", _GET, 8, 0.0),
}
STORE_FRAMINGS = {
    "chunks": (_RESPONSE + _CHUNKED, b"1\r\n \r\n" * 50_000),
    "body": (_RESPONSE + b"\r\n", b" " * 262_144),
    "head": (_RESPONSE + b"x-a: ", b"x" * 262_144),
    "json": (_RESPONSE + b"\r\n", b"[" + b"[]," * 5_000_000 + b"[]]"),
    "pages": (b"", b""),
    # All searchers are new ones in each answer.
    "searchers": (b"", b""),
}


class LargeSearcher(deployments.Searcher):
    """Searcher whose answers are large."""

    async def handle(self, request, disconnected):
        """Returns a large answer."""
        response = await super().handle(request, disconnected)
        response.body = b"x" * LARGE_ANSWER_BYTES
        return response


async def _trouble_caller(port: int, framing: str) -> None:
    """Holds one partial request, or unread answers, until it is refused."""
    first, following, count, pause_s = CALLER_FRAMINGS[framing]
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                deployments.HOST, port, limit=1024
            )
            try:
                writer.write(first)
                for _ in range(count):
                    writer.write(following)
                    await writer.drain()
                    await asyncio.sleep(pause_s)
                if framing in ("pipeline", "unread"):
                    await asyncio.sleep(60)
                while await reader.read(65_536):
                    pass
            finally:
                writer.transport.abort()
        await asyncio.sleep(1)


class TroubleStore:
    """Store that answers like another one until its trouble begins."""

    def __init__(self, store: deployments.Store, framing: str):
        self._store = store
        self._framing = framing
        self.is_in_trouble = False
        self._number = 0

    async def serve(self, reader, writer) -> None:
        """Answers one request."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            if not self.is_in_trouble:
                answer = await self._store.handle(None, None)
                writer.write(http1.encode_response(answer, False))
            elif self._framing == "pages":
                writer.write(http1.encode_response(self._page(), False))
            elif self._framing == "searchers":
                answer = await self._store.handle(None, None)
                page = orjson.loads(answer.body)
                self._number += 1
                first = self._number * SEARCHERS
                page["items"] += [
                    _searcher_item(n) for n in range(first, first + SEARCHERS)
                ]
                page["store-revision"] += self._number
                answer.body = orjson.dumps(page)
                writer.write(http1.encode_response(answer, False))
            else:
                first, following = STORE_FRAMINGS[self._framing]
                writer.write(first)
                while True:
                    writer.write(following)
                    await writer.drain()
                    if self._framing == "json":
                        break
            await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    def _page(self) -> http1.Response:
        self._number += 1
        items = [
            {"key": f"servers/{self._number:09}-{n:05}", "value": "", "rev": 1}
            for n in range(15_000)
        ]
        page = {"items": items, "truncated": True, "store-revision": 9}
        return http1.Response(200, [], orjson.dumps(page))


async def _handshake(port: int, vm: str, accepts_compression: bool):
    """Returns the streams of an authenticated link, and its authenticator."""
    reader, writer = await asyncio.open_connection(deployments.HOST, port)
    own = peer_codec.encode(
        messages.Hello(vm, 1, bytes(16), accepts_compression)
    )
    writer.write(peer_codec.encode_plain_frame(own))
    hellos = own + await peer_codec.read_plain_frame(reader, 4096)
    key = peer_codec.derive_key(b"", "dialer", hellos)
    proof = messages.Proof(hmac.digest(key, b"proof", hashlib.sha256))
    writer.write(peer_codec.encode_plain_frame(peer_codec.encode(proof)))
    await peer_codec.read_plain_frame(reader, 4096)
    return reader, writer, peer_codec.FrameAuthenticator(key)


def _searcher_item(number: int) -> dict:
    value = {
        "service": f"shard-{number // 3:07}",
        "address": f"10.0.{number // 256 % 256}.{number % 256}:8000",
        "zone": f"zone-{number % 5}",
        "version": "v1",
        "capacity": 3,
        "state": "ready",
        "warmup-left-ms": 0,
        "seq": 1,
        "born": number,
    }
    text = base64.b64encode(orjson.dumps(value)).decode()
    return {"key": f"servers/x-{number:09}", "value": text, "rev": 1}


@functools.cache
def _large_payload() -> bytes:
    """Returns a compressed message of many small structs."""
    news = [serving.UpstreamNews()] * SMALL_STRUCTS
    view = serving.ViewNews(serving.ViewStamp(1, 1, 1), None, news)
    body = messages.Body(view_news=view)
    return peer_codec.compress(peer_codec.encode(messages.Envelope(1, 0, body)))


async def _trouble_peer(port: int, framing: str, number: int) -> None:
    """Sends what a peer should not, and never reads a reply."""
    while True:
        with contextlib.suppress(OSError, EOFError):
            if framing == "handshakes":
                reader, writer = await asyncio.open_connection(
                    deployments.HOST, port
                )
                writer.write((4096).to_bytes(4) + bytes(4095))
            else:
                reader, writer, authenticator = await _handshake(
                    port, f"vm-t{number}", framing == "decoded"
                )
            if framing == "frames":
                writer.write((33_554_432).to_bytes(4))
                for _ in range(510):
                    writer.write(bytes(65_536))
                    await writer.drain()
            while framing == "decoded":
                payload = _large_payload()
                writer.write(peer_codec.encode_frame(authenticator, payload))
                await writer.drain()
                await asyncio.sleep(0.1)
            while framing == "requests":
                payload = peer_codec.encode(
                    messages.Envelope(1, 0, messages.Body())
                )
                for _ in range(1000):
                    writer.write(
                        peer_codec.encode_frame(authenticator, payload)
                    )
                await writer.drain()
            while await reader.read(65_536):
                pass
            writer.transport.abort()
        await asyncio.sleep(0.1)


def _cause_trouble(sender: str, framing: str, port: int, count: int) -> None:
    """Runs all senders in trouble; the target of a process of its own."""

    async def run_all():
        await asyncio.gather(
            *(
                _trouble_peer(port, framing, number)
                if sender == "peer"
                else _trouble_caller(port, framing)
                for number in range(count)
            )
        )

    asyncio.run(run_all())


async def _measure(
    folder: pathlib.Path, sender: str, framing: str, count: int, duration_s: int
) -> dict[str, float]:
    deployment = deployments.Deployment(folder, daemons=1)
    if framing == "unread":
        deployment.searchers = [
            LargeSearcher(s.id, s.service) if s.service == "one" else s
            for s in deployment.searchers
        ]
    async with deployment:
        (daemon,) = deployment.daemons
        store = TroubleStore(deployment.store, framing)
        server = await asyncio.start_server(store.serve, deployments.HOST, 0)
        store_port = server.sockets[0].getsockname()[1]
        settings = yaml.safe_load(daemon.settings_path.read_text())
        settings["memory_mb"] = MEMORY_MB
        settings["store"]["address"] = f"{deployments.HOST}:{store_port}"
        daemon.settings_path.write_text(yaml.safe_dump(settings))
        daemon.process.kill()
        await daemon.process.wait()
        await daemon.start()
        await deployment.wait_until(lambda: deployment.is_ready(daemon))
        port = daemon.peers if sender == "peer" else daemon.front
        trouble = multiprocessing.get_context("spawn").Process(
            target=_cause_trouble, args=(sender, framing, port, count)
        )
        statuses: list[int] = []
        requests = []
        for index in range(duration_s * SOUND_REQUESTS_PER_S):
            if index == int(CALM_S * SOUND_REQUESTS_PER_S):
                store.is_in_trouble = sender == "store"
                if sender != "store":
                    trouble.start()
            requests.append(asyncio.create_task(_send(deployment, statuses)))
            await asyncio.sleep(1 / SOUND_REQUESTS_PER_S)
        await asyncio.sleep(1)
        status = pathlib.Path(f"/proc/{daemon.process.pid}/status").read_text()
        peak_kb = int(status.split("VmHWM:")[1].split()[0])
        if trouble.pid is not None:
            trouble.kill()
            trouble.join()
        await asyncio.gather(*requests)
        server.close()
        lines = daemon.log_path.read_text().splitlines()
        summaries = [orjson.loads(x) for x in lines if '"summary"' in x]
    return {
        "peak_mb": round(peak_kb / _KB_PER_MB),
        "sound_share": statuses.count(200) / len(statuses),
        "statuses": {s: statuses.count(s) for s in set(statuses)},
        "kept_peak": summaries[-1].get("kept_peak"),
        "gave_way": summaries[-1].get("gave_way"),
    }


async def _send(deployment, statuses: list[int]) -> None:
    status = 0
    with contextlib.suppress(OSError, TimeoutError, AttributeError):
        status = (await deployment.send_request(deployment.daemons[0])).status
    statuses.append(status)


@click.command()
@click.option("--sender", type=click.Choice(["caller", "peer", "store"]))
@click.option("--framing", required=True)
@click.option("--count", default=2000, help="Connections in trouble.")
@click.option("--seconds", default=15)
def main(sender: str, framing: str, count: int, seconds: int) -> None:
    """Prints the peak memory and the share of sound requests served."""
    with tempfile.TemporaryDirectory() as folder:
        figures = asyncio.run(
            _measure(pathlib.Path(folder), sender, framing, count, seconds)
        )
    print(sender, framing, count, figures, flush=True)


if __name__ == "__main__":
    main()
