"""Faults of daemon processes, their signals, addresses and outputs."""

import asyncio
import contextlib
import functools
import random
import signal
import socket
import time

from tests.platform import deployment as deployments
from tests.soak import daemons

MAX_START_SIGNAL_S = 1.0
# Time after SIGTERM until a daemon must have ended, beyond its grace.
END_TIMEOUT_S = 3.0


def reserves_daemon(fault):
    """Calls a fault with a daemon that has no other fault, if there is one."""

    @functools.wraps(fault)
    async def wrapper(self):
        with self.reserve_daemons(1) as chosen:
            for daemon in chosen:
                await fault(self, daemon)

    return wrapper


class DaemonFaults:
    def __init__(self, soak):
        self.soak = soak
        self.rng = random.Random(f"{soak.seed}/daemons")

    @contextlib.contextmanager
    def reserve_daemons(self, count):
        busy_daemons = self.soak.busy_daemons
        free = [
            d for d in self.soak.deployment.daemons if d not in busy_daemons
        ]
        chosen = self.rng.sample(free, min(count, len(free)))
        busy_daemons.update(chosen)
        yield chosen
        busy_daemons.difference_update(chosen)

    async def kill(self, daemon):
        daemon.send_signal(signal.SIGKILL)
        self.soak.disturbed_at[daemon.name] = time.monotonic()
        await daemon.process.wait()

    async def wait_for_end(self, daemon):
        grace_s = self.soak.deployment.daemon_options[1]
        try:
            async with asyncio.timeout(grace_s + END_TIMEOUT_S):
                await daemon.process.wait()
        except TimeoutError:
            self.soak.problems.append(
                f"{daemon.name} does not exit after SIGTERM"
            )
            daemon.send_signal(signal.SIGKILL)
            await daemon.process.wait()

    @reserves_daemon
    async def pause_daemon(self, daemon):
        daemon.hindrances.add("paused")
        daemon.send_signal(signal.SIGSTOP)
        # A caller may give up before the daemon goes on.
        self.soak.disturbed_at[daemon.name] = time.monotonic()
        await self.soak.sleep_random()
        daemon.send_signal(signal.SIGCONT)
        self.soak.disturbed_at[daemon.name] = time.monotonic()
        daemon.hindrances.discard("paused")

    @reserves_daemon
    async def kill_daemon(self, daemon):
        await self.kill(daemon)
        # Peers may still serve what it had asked for.
        await self.soak.sleep_random(0.5)
        await daemon.start()

    async def kill_daemons(self):
        with self.reserve_daemons(self.rng.randint(2, 3)) as chosen:
            await asyncio.gather(*map(self.kill, chosen))
            await self.soak.sleep_random(0.5)
            await asyncio.gather(*(daemon.start() for daemon in chosen))

    @reserves_daemon
    async def restart_daemon(self, daemon):
        daemon.send_signal(signal.SIGTERM)
        await self.wait_for_end(daemon)
        await daemon.start()

    @reserves_daemon
    async def signal_at_start(self, daemon):
        number = self.rng.choice([signal.SIGHUP, signal.SIGTERM])
        delay_s = self.rng.uniform(0, MAX_START_SIGNAL_S)
        await self.kill(daemon)
        await daemon.start()
        await asyncio.sleep(delay_s)
        daemon.send_signal(number)
        if number == signal.SIGTERM:
            await self.wait_for_end(daemon)
            await daemon.start()

    @reserves_daemon
    async def signal_at_end(self, daemon):
        """Sends more signals from the start of a shutdown to its end."""
        number = self.rng.choice([signal.SIGHUP, signal.SIGTERM])
        interval_s = self.rng.choice([0.01, 0.1, 0.5])
        daemon.send_signal(signal.SIGTERM)
        end = asyncio.create_task(self.wait_for_end(daemon))
        while not (await asyncio.wait((end,), timeout=interval_s))[0]:
            daemon.send_signal(number)
        await end
        await daemon.start()

    @reserves_daemon
    async def take_address(self, daemon):
        """Takes an address of a daemon for a while before it starts again."""
        name = self.rng.choice(daemons.PORT_NAMES)
        seconds = self.rng.uniform(0.5, 3.0)
        if self.rng.random() < 0.5:
            await self.kill(daemon)
        else:
            daemon.send_signal(signal.SIGTERM)
            await self.wait_for_end(daemon)
        daemon.on_end(daemon)
        daemon.hindrances.add(f"{name} address taken")
        with socket.socket() as taker:
            taker.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            taker.bind((deployments.HOST, getattr(daemon, name)))
            taker.listen()
            end_at = time.monotonic() + seconds
            while (left_s := end_at - time.monotonic()) > 0:
                if not daemon.is_running:
                    await daemon.start()
                await asyncio.sleep(min(daemons.RESTART_DELAY_S, left_s))
        daemon.hindrances.discard(f"{name} address taken")

    async def fill_output(self):
        output = self.rng.choice(self.soak.deployment.daemons).output
        output.fill()
        await self.soak.sleep_random()
        output.open()

    async def close_output(self):
        output = self.rng.choice(self.soak.deployment.daemons).output
        output.close()
        await self.soak.sleep_random()
        output.open()
