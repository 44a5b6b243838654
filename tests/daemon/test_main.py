import signal
import subprocess
import sys
import time

import pytest

from tests.daemon import test_settings
from tests.platform import deployment
from tests.platform import test_signals

TIMEOUT_S = 15.0


@pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.6])
def test_no_signal_during_the_start_ends_citrondoord(tmp_path, delay_s):
    http_port, peer_port = deployment.free_ports(2)
    path = tmp_path / "s.yaml"
    path.write_text(
        test_settings.VALID_SETTINGS.replace("8000", str(http_port)).replace(
            "8001", str(peer_port)
        )
        + "callers: {entries_ttl_ms: 100}\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "citrondoor.daemon.main", "--settings", path],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    ends_at = time.monotonic() + TIMEOUT_S
    while not test_signals.is_safe(process.pid):
        assert time.monotonic() < ends_at
        time.sleep(0.001)
    time.sleep(delay_s)
    process.send_signal(signal.SIGHUP)
    while process.poll() is None:
        assert time.monotonic() < ends_at
        process.send_signal(signal.SIGTERM)
        time.sleep(0.001)
    assert process.returncode == 0
