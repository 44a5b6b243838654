"""Runs daemon processes whose standard output can't be written."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys

import orjson
import pytest

from tests.platform import deployment as deployments

CLOSING_PROGRAM = (
    "import os, sys; os.close(1); os.execv(sys.executable, [sys.executable, *"
    "sys.argv[1:]])"
)


def make_full_pipe():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    for size in (4096, 1):
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writer, b"x" * size)
    os.set_blocking(writer, True)
    return reader, writer


@pytest.mark.parametrize("state", ["closed", "reader gone", "full"])
def test_a_daemon_without_standard_output_serves_and_ends_with_0(
    tmp_path, state
):
    # FAULT: SIGTERM ended it with 120 if the reader was gone, and by SIGABRT if
    # the pipe was full.
    async def body():
        async with deployments.Deployment(tmp_path, daemons=1) as deployment:
            (daemon,) = deployment.daemons
            daemon.process.kill()
            await daemon.process.wait()
            reader, writer = make_full_pipe()
            if state == "reader gone":
                os.close(reader)
            daemon.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *(["-c", CLOSING_PROGRAM] if state == "closed" else []),
                *("-m", "citrondoor.platform"),
                *("--settings", str(daemon.settings_path)),
                stdout=writer,
                env={"PATH": os.environ["PATH"]},
            )
            os.close(writer)
            await deployment.wait_until(lambda: deployment.is_ready(daemon))
            response = await deployment.send_request(daemon)
            daemon.process.send_signal(signal.SIGTERM)
            code = await daemon.process.wait()
            if state != "reader gone":
                os.close(reader)
            return response.status, code

    assert asyncio.run(body()) == (200, 0)


def test_invalid_settings_end_a_daemon_whose_standard_error_is_full(tmp_path):
    # FAULT: it hung, and SIGTERM did not end it.
    path = tmp_path / "none.yaml"
    reader, writer = make_full_pipe()
    process = subprocess.run(
        [
            sys.executable,
            *("-m", "citrondoor.platform"),
            *("--settings", str(path)),
        ],
        stdout=subprocess.PIPE,
        stderr=writer,
        timeout=8,
        check=False,
    )
    for descriptor in (reader, writer):
        os.close(descriptor)
    assert process.returncode == 2
    assert orjson.loads(process.stdout.splitlines()[-1])["event"] == "ended"
