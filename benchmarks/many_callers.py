"""Load of more callers than a daemon may have descriptors.

Run as `python -m benchmarks.many_callers`. Starts two daemons; the second may
have `--descriptors`. Callers in a process of their own connect to it, ask once
and keep their connections; those that are turned away connect again after a
pause. The first `ACTIVE_CALLERS` are in before and ask twice a second.
"""

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile

import orjson

from citrondoor.codecs import http1
from tests.platform import deployment as deployments

HEADERS = [(b"host", b"shop.example"), (b"x-request-deadline", b"900")]
RECONNECT_PAUSE_S = 5.0
ACTIVE_CALLERS = 20
ACTIVE_PAUSE_S = 0.5
# Connections opened per second.
OPENED_PER_S = 500


class _Deployment(deployments.Deployment):
    """Limits the descriptors of the second daemon."""

    def __init__(self, folder, descriptors):
        super().__init__(folder)
        self._descriptors = descriptors

    def prepare(self, daemon):
        if daemon.name == "vm-1":
            script = f'ulimit -n {self._descriptors}; exec "$@"'
            daemon.prefix = ["sh", "-c", script, "sh"]


async def _hold(port, number, pause_s, counts) -> None:
    """One caller; asks each `pause_s`, and connects again when closed."""
    parser = None
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                deployments.HOST, port
            )
            parser = http1.ResponseReader()
            while True:
                request_id = b"c%d-%d" % (number, counts["asked"])
                counts["asked"] += 1
                headers = [*HEADERS, (b"x-request-id", request_id)]
                writer.write(
                    http1.encode_request(b"GET", b"/all/x", headers, b"")
                )
                response = None
                async with asyncio.timeout(5):
                    while response is None:
                        data = await reader.read(65536)
                        if not data:
                            raise EOFError
                        for response in parser.feed(data):
                            counts[response.status] += 1
                if response.status == 503:
                    break
                await asyncio.sleep(pause_s)
        except (OSError, EOFError) as error:
            counts[type(error).__name__] += 1
        finally:
            if writer is not None:
                writer.close()
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def _run_callers(options) -> None:
    counts = collections.Counter()
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + options.seconds
    tasks = []
    while loop.time() < ends_at:
        if len(tasks) < options.callers:
            tasks.append(
                asyncio.create_task(
                    _hold(
                        options.port,
                        ACTIVE_CALLERS + len(tasks),
                        options.seconds,
                        counts,
                    )
                )
            )
        await asyncio.sleep(1 / OPENED_PER_S)
    for task in tasks:
        task.cancel()
    print("of", len(tasks), "other callers:", dict(counts))


async def _main(options) -> None:
    folder = pathlib.Path(tempfile.mkdtemp())
    async with _Deployment(folder, options.descriptors) as deployment:
        daemon = deployment.daemons[1]
        counts = collections.Counter()
        tasks = [
            asyncio.create_task(
                _hold(daemon.front, number, ACTIVE_PAUSE_S, counts)
            )
            for number in range(ACTIVE_CALLERS)
        ]
        await asyncio.sleep(1)
        arguments = [f"--callers={options.callers}", f"--port={daemon.front}"]
        others = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.many_callers",
            *arguments,
            f"--seconds={options.seconds}",
        )
        checks = collections.Counter()
        descriptors = []
        for _ in range(int(options.seconds)):
            await asyncio.sleep(1)
            checks["ready", await deployment.is_ready(daemon)] += 1
            found = pathlib.Path(f"/proc/{daemon.process.pid}/fd")
            descriptors.append(len(list(found.iterdir())))
        for task in tasks:
            task.cancel()
        await others.wait()
        await asyncio.sleep(6)
        records = daemon.log_records()
        summaries = [r for r in records if r["event"] == "summary"]
        print("of active callers:", dict(counts))
        print("readiness checks:", dict(checks))
        print("descriptors, most:", max(descriptors))
        print("exit code:", daemon.process.returncode)
        print("store ages, ms:", [r["store_age_ms"] for r in summaries])
        print(
            "connections to searchers:", [r["connections"] for r in summaries]
        )
        print("turned away:", [r["turned_away"] for r in summaries])
        print("resident, MB:", summaries[-1]["resident_peak_mb"])
        events = collections.Counter(r["event"] for r in records)
        print("events:", orjson.dumps(events).decode())


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", type=int, default=6000)
    parser.add_argument("--descriptors", type=int, default=4100)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--port", type=int, default=0)
    parsed = parser.parse_args()
    asyncio.run(_run_callers(parsed) if parsed.port else _main(parsed))
