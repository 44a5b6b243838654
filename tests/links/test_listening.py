import asyncio
import contextlib
import resource
import socket

import pytest

from citrondoor import clock as clocks
from citrondoor import links
from citrondoor.links import _listening
from tests.links import test_http_server

HOST = "127.0.0.1"


async def wait_until(condition, timeout_s=3.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_the_port_of_our_outgoing_connection_can_be_listened_on():
    # FAULT: Linux gave an outgoing connection a port of the daemon, which then
    # could not listen as long as the connection was open, and a minute longer.
    async def is_usable():
        with socket.create_server((HOST, 0)) as server:
            _, writer = await links.open_connection(*server.getsockname())
            port = writer.get_extra_info("sockname")[1]
            accepted, _ = server.accept()
            try:
                _listening.open_listener(HOST, port).close()
                writer.close()
                await writer.wait_closed()
                accepted.close()
                # The connection is now in the state TIME_WAIT.
                _listening.open_listener(HOST, port).close()
            except OSError:
                return False
            finally:
                writer.close()
                accepted.close()
        return True

    async def body():
        # Connections of other processes may share the port of some of them.
        return [await is_usable() for _ in range(40)]

    assert any(asyncio.run(body()))


def test_a_port_that_cannot_be_had_is_tried_until_it_is_free():
    async def body():
        reports = []
        listeners = links.Listeners(
            clocks.Clock(), lambda event, **fields: reports.append(event)
        )
        with socket.create_server((HOST, 0)) as other:
            port = other.getsockname()[1]
            taken = []
            listeners.open("front", HOST, port, taken.append)
            await asyncio.sleep(3 * _listening.RETRY_PAUSE_MS / 1000)
            assert reports == ["address_unavailable"]
            assert not listeners.is_listening("front")
        await wait_until(lambda: taken)
        assert reports == ["address_unavailable", "listening"]
        assert listeners.listening_ms("front") > 0
        taken[0].close()

    asyncio.run(body())


@contextlib.contextmanager
def no_descriptors_left():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as probe:
        lowest_free = probe.fileno()
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_connections_are_accepted_again_after_descriptors_ran_out(caplog):
    # asyncio's loop logged an error for each place of the backlog, a thousand
    # lines a second.
    async def body():
        server = await test_http_server.start(test_http_server.EchoHandler())
        callers = [socket.socket() for _ in range(3)]
        with no_descriptors_left():
            for caller in callers:
                caller.settimeout(2)
                caller.connect((HOST, server.port))
                caller.sendall(test_http_server.GET)
            await wait_until(lambda: server.accept_failures >= 2)
            assert server.accept_failures <= 4
        for caller in callers:
            answer = await asyncio.to_thread(caller.recv, 65536)
            assert answer.startswith(b"HTTP/1.1 200 ")
            caller.close()

    test_http_server.run(body())
    assert not caplog.records


def test_the_start_of_the_process_is_before_now():
    clock = clocks.Clock()
    age_ms = clock.now() - _listening.process_started_at(clock)
    assert 0 < age_ms < 3_600_000


@pytest.mark.parametrize("host", ["203.0.113.1", "2001:db8::1"])
def test_an_ip_address_that_no_interface_has_raises_an_os_error(host):
    with pytest.raises(OSError, match="assign|support"):
        _listening.open_listener(host, 0)
