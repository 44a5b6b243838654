"""Starts daemon processes whose addresses are not available at first."""

import asyncio
import signal
import socket
import struct

import pytest

from tests.platform import deployment as deployments

NAMES = ("front", "readiness", "directory", "peers", "metrics")
HOLD_S = 0.6


def listen_on(port):
    """Takes a port as another process that listens would."""
    return [socket.create_server((deployments.HOST, port))]


def connect_from(port):
    """Takes a port as an outgoing connection of another process would."""
    server = socket.create_server((deployments.HOST, 0))
    client = socket.socket()
    # Else the port stays in use for a minute after the connection has closed.
    client.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    client.bind((deployments.HOST, port))
    client.connect(server.getsockname())
    return [client, server.accept()[0], server]


class HeldDeployment(deployments.Deployment):
    """Holds addresses of the second daemon until `release`.

    Args:
      folder: Folder for the daemons' settings and logs.
      names: Names of the addresses.
      hold: Takes a port and returns the sockets that hold it.
      meanwhile: Coroutine function, called while the addresses are held.
    """

    def __init__(self, folder, names, hold, meanwhile=None):
        super().__init__(folder)
        self.names = names
        self.hold = hold
        self.meanwhile = meanwhile
        self.held = []
        self.checks = None

    def prepare(self, daemon):
        if daemon.name == "vm-1":
            for name in self.names:
                self.held += self.hold(getattr(daemon, name))
            self.checks = asyncio.create_task(self.release_later(daemon))

    async def is_joining(self, daemon):
        """Whether the daemon has met the held addresses and others serve."""
        assert daemon.process is None or daemon.process.returncode is None
        others = [d for d in self.daemons if d is not daemon]
        return len(events(daemon, "address_unavailable")) == len(
            self.names
        ) and all([await self.is_ready(other) for other in others])

    async def release_later(self, daemon):
        try:
            await self.wait_until(lambda: self.is_joining(daemon))
            await asyncio.sleep(HOLD_S)
            assert daemon.process.returncode is None
            if self.meanwhile is not None:
                await self.meanwhile(self, daemon)
        finally:
            for sock in self.held:
                sock.close()


def run(tmp_path, names, hold, body, meanwhile=None):
    async def run_body():
        async with HeldDeployment(
            tmp_path, names, hold, meanwhile
        ) as deployment:
            await deployment.checks
            await body(deployment)

    asyncio.run(run_body())


def events(daemon, kind):
    return [r for r in daemon.log_records() if r["event"] == kind]


async def check_not_ready(deployment, daemon):
    first = deployment.daemons[0]
    assert not await deployment.is_ready(daemon)
    listed = await deployment.addresses(first)
    assert listed == {f"{deployments.HOST}:{first.front}"}

    async def has_joined():
        return any(r["detail"] == "vm-0" for r in events(daemon, "link_up"))

    # A seed that did not listen yet is dialled again after up to a second.
    await deployment.wait_until(has_joined)


@pytest.mark.parametrize("hold", [listen_on, connect_from])
@pytest.mark.parametrize("name", NAMES)
def test_an_address_in_use_at_the_start_does_not_end_the_daemon(
    tmp_path, name, hold
):
    # FAULT: the process ended with status 1 and a traceback.
    async def body(deployment):
        daemon = deployment.daemons[1]

        async def is_listening():
            listening = events(daemon, "listening")
            return {r["address"] for r in listening} == set(NAMES)

        await deployment.wait_until(is_listening)
        (failure,) = events(daemon, "address_unavailable")
        assert failure["address"] == name
        assert failure["port"] == getattr(daemon, name)
        assert "end its process" in failure["remedy"]
        since_start_ms = {
            r["address"]: r["since_start_ms"]
            for r in events(daemon, "listening")
        }
        # The addresses do not wait for one another.
        waited_ms = since_start_ms.pop(name) - max(since_start_ms.values())
        assert waited_ms >= HOLD_S * 1000
        response = await deployment.send_request(daemon)
        assert response.status == 200

    meanwhile = None if name == "metrics" else check_not_ready
    run(tmp_path, (name,), hold, body, meanwhile)


def test_a_daemon_that_waits_for_all_its_addresses_stops_when_told(tmp_path):
    # FAULT: it had ended with status 1 before the signal.
    async def stop(deployment, daemon):
        daemon.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(3):
            assert await daemon.process.wait() == 0
        assert events(daemon, "stopped")

    async def run_body():
        deployment = HeldDeployment(tmp_path, NAMES, listen_on, stop)
        await deployment.store.server.start(deployments.HOST, 0)
        deployment.store.put("op/config", deployment.config(1))
        ports = deployments.free_ports(5)
        daemon = deployments.Daemon(
            "vm-1", tmp_path, deployment.store.server.port, [], ports, 1.0
        )
        deployment.daemons.append(daemon)
        deployment.prepare(daemon)
        try:
            await daemon.start()
            await deployment.checks
        finally:
            await deployment.__aexit__()

    asyncio.run(run_body())


def test_the_metrics_state_the_time_to_each_address(tmp_path):
    async def body(deployment):
        daemon = deployment.daemons[1]

        async def has_metrics():
            response = await deployments.send_http_request(
                daemon.metrics, b"/metrics"
            )
            return b"citrondoor_listening_front" in response.body

        await deployment.wait_until(has_metrics)
        assert len(events(daemon, "listening")) == len(NAMES)

    run(tmp_path, (), listen_on, body)
