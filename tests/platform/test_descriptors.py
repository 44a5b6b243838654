"""More callers than a daemon process may have descriptors."""

import asyncio
import pathlib

from citrondoor import links
from citrondoor.codecs import http1
from citrondoor.links import _peers
from citrondoor.schema import messages
from tests.platform import deployment as deployments

MAX_DESCRIPTORS = 256
CALLERS = 400
HEADERS = [(b"host", b"shop.example"), (b"x-request-deadline", b"900")]


class LimitedDeployment(deployments.Deployment):
    """Its second daemon may have `MAX_DESCRIPTORS` descriptors."""

    def prepare(self, daemon):
        if daemon.name == "vm-1":
            script = f'ulimit -n {MAX_DESCRIPTORS}; exec "$@"'
            daemon.prefix = ["sh", "-c", script, "sh"]


class Caller:
    """A caller that keeps its connection open."""

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection(
            deployments.HOST, port
        )

    async def send(self, request_id):
        """Returns the response; None if the connection was closed."""
        headers = [*HEADERS, (b"x-request-id", request_id)]
        parser = http1.ResponseReader()
        try:
            self.writer.write(
                http1.encode_request(b"GET", b"/all/x", headers, b"")
            )
            async with asyncio.timeout(5):
                while data := await self.reader.read(65536):
                    for response in parser.feed(data):
                        return response
        except (ConnectionError, TimeoutError):
            pass
        return None


async def connect_callers(port):
    callers = [Caller() for _ in range(CALLERS)]
    for start in range(0, CALLERS, 50):
        await asyncio.gather(
            *(c.connect(port) for c in callers[start : start + 50])
        )
        await asyncio.sleep(0.05)
    return callers


def count_events(daemon, kind):
    return sum(r["event"] == kind for r in daemon.log_records())


async def check_while_full(deployment, daemon, callers):
    responses = [await c.send(b"in%d" % n) for n, c in enumerate(callers[:20])]
    assert [r and r.status for r in responses] == [200] * 20
    surplus = Caller()
    await surplus.connect(daemon.front)
    refusal = await surplus.send(b"late")
    if refusal is not None:
        assert refusal.status == 503
        assert refusal.header_value(b"connection") == b"close"
        assert refusal.header_value(b"retry-after") is not None
        assert refusal.header_value(b"x-request-id") == b"late"
    surplus.writer.close()
    assert await deployment.is_ready(daemon)
    assert len(await deployment.addresses(daemon)) == 2
    return refusal is not None


async def check_store_is_read(deployment, daemon):
    """Waits for a summary with connections turned away; checks its view."""
    ages_ms = []

    async def has_summary():
        ages_ms[:] = [
            r["store_age_ms"]
            for r in daemon.log_records()
            if r["event"] == "summary" and r["turned_away"]
        ]
        return bool(ages_ms)

    await deployment.wait_until(has_summary)
    assert max(ages_ms) < 2000


def test_callers_without_end_leave_descriptors_for_all_others(tmp_path):
    # FAULT: callers could take each descriptor that others need.
    async def body():
        async with LimitedDeployment(tmp_path) as deployment:
            daemon = deployment.daemons[1]

            async def has_joined():
                return len(await deployment.addresses(daemon)) == 2

            await deployment.wait_until(has_joined)
            callers = await connect_callers(daemon.front)
            # Links to seeds give way to links to named peers at first.
            await asyncio.sleep(1.2)
            link_losses = count_events(daemon, "link_down")
            refusals = 0
            for _ in range(4):
                refusals += await check_while_full(deployment, daemon, callers)
                await asyncio.sleep(0.2)
            assert refusals
            await check_store_is_read(deployment, daemon)
            assert count_events(daemon, "connections_turned_away") >= 1
            assert count_events(daemon, "link_down") == link_losses
            for caller in callers:
                caller.writer.close()
            await asyncio.sleep(0.2)
            response = await deployment.send_request(daemon)
            assert response.status == 200
            assert daemon.process.returncode is None

    asyncio.run(body())


async def open_peer_link(port, name):
    """Returns an authenticated link; None if it was not accepted."""
    settings = links.PeerSettings(name, 1, b"", 4096, 500)
    try:
        streams = await asyncio.open_connection(deployments.HOST, port)
        async with asyncio.timeout(0.5):
            return await _peers._perform_handshake(
                *streams, settings, is_dialer=True
            )
    except (OSError, EOFError, TimeoutError):
        return None


def test_links_of_peers_without_end_leave_descriptors_for_all_others(tmp_path):
    # FAULT: 289 links of one peer left no descriptor for the store.
    async def body():
        async with LimitedDeployment(tmp_path) as deployment:
            daemon = deployment.daemons[1]

            async def has_joined():
                return len(await deployment.addresses(daemon)) == 2

            await deployment.wait_until(has_joined)
            await asyncio.sleep(1.2)
            link_losses = count_events(daemon, "link_down")
            channels = []
            for number in range(300):
                name = "vm-9" if number % 2 else f"vm-{number + 10}"
                channels.append(await open_peer_link(daemon.peers, name))
                for channel in channels:
                    if number % 50 == 0 and channel is not None:
                        channel.send(messages.Envelope(0, 0, messages.Body()))
            folder = f"/proc/{daemon.process.pid}/fd"
            assert len(list(pathlib.Path(folder).iterdir())) < 128
            assert not count_events(daemon, "store_lost")
            for _ in range(10):
                response = await deployment.send_request(daemon)
                assert response.status == 200
                assert await deployment.is_ready(daemon)
                await asyncio.sleep(0.2)
            await check_store_is_read(deployment, daemon)
            assert len(await deployment.addresses(daemon)) == 2
            assert count_events(daemon, "link_down") == link_losses
            for channel in channels:
                if channel is not None:
                    channel.close()

    asyncio.run(body())
