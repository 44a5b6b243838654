"""Starts daemon processes whose settings file is incomplete or unusual."""

import asyncio
import re
import signal

import pytest

from citrondoor import errors
from citrondoor.daemon import entry_daemon
from citrondoor.daemon import settings_wait
from tests.platform import deployment as deployments
from tests.platform import test_signals

VALUE_BY_PLACEHOLDER = {
    "ip": "127.0.0.1",
    "node-name|json": '"vm-1"',
    "seeds|json": '["127.0.0.1:4"]',
    "@": "a",
}


def render_template():
    """Returns the settings of one VM, from the template of the deployment."""
    text = (deployments.ROOT / "deploy" / "settings.yaml").read_text()
    text = re.sub(r"\{\{[#/][^}]*\}\}", "", text)

    def value(match):
        name = match[1]
        if name.startswith(("listen", "platform.address")):
            return '"127.0.0.1:1"'
        default = "300" if name == "." else '"a"'
        return VALUE_BY_PLACEHOLDER.get(name, default)

    text = text.replace('region: "{{.}}"', "region: r")
    text = text.replace("{{region|json}}", '"r"')
    text = re.sub(r"factor: \{\{\.\}\}", "factor: 1.5", text)
    text = re.sub(r"ratio: \{\{\.\}\}", "ratio: 0.2", text)
    return re.sub(r"\{\{([^}]*)\}\}", value, text)


def test_settings_of_the_deployment_are_invalid_wherever_they_are_cut(tmp_path):
    # FAULT: cut off among its last lines, the file was read without the zones.
    path = tmp_path / "s.yaml"
    text = render_template()
    path.write_text(text)
    assert entry_daemon.read_entry_settings(path).zones[0].region == "r"
    for length in range(len(text.rstrip())):
        path.write_text(text[:length])
        with pytest.raises(errors.DocumentError):
            entry_daemon.read_entry_settings(path)


@pytest.mark.parametrize("state", ["missing", "empty", "half"])
def test_settings_that_are_written_during_the_start_are_read(tmp_path, state):
    # FAULT: the process ended with code 2 at once.
    async def body():
        daemon = test_signals.make_daemon(tmp_path, 0)
        text = daemon.settings_path.read_text()
        if state == "missing":
            daemon.settings_path.unlink()
        else:
            end = 0 if state == "empty" else len(text) // 2
            daemon.settings_path.write_text(text[:end])
        await test_signals.start_blocked(daemon, ["-m", "citrondoor.platform"])
        await asyncio.sleep(0.8)
        assert daemon.process.returncode is None
        daemon.settings_path.write_text(text)
        await asyncio.sleep(0.3)
        daemon.process.send_signal(signal.SIGTERM)
        return await test_signals.end_of(daemon), daemon.log_records()[0]

    end, first = asyncio.run(body())
    assert end == (0, "stopped")
    assert first["event"] == "started"


def test_settings_that_stay_invalid_end_it_with_code_2_and_a_line(tmp_path):
    async def body():
        daemon = test_signals.make_daemon(tmp_path, 0)
        daemon.settings_path.write_text("vm: [")
        await daemon.start()
        return await daemon.process.wait(), daemon.log_path.read_text()

    code, text = asyncio.run(body())
    assert code == 2
    assert '"event":"ended","reason":"settings"' in text
    assert str(tmp_path) in text


def test_sigterm_during_the_wait_for_settings_ends_it_with_code_0(tmp_path):
    async def body():
        daemon = test_signals.make_daemon(tmp_path, 0)
        daemon.settings_path.unlink()
        await test_signals.start_blocked(daemon, ["-m", "citrondoor.platform"])
        daemon.process.send_signal(signal.SIGTERM)
        started_at = asyncio.get_running_loop().time()
        end = await test_signals.end_of(daemon)
        return end, asyncio.get_running_loop().time() - started_at

    end, lasted_s = asyncio.run(body())
    assert end == (0, "ended")
    assert lasted_s < settings_wait.WAIT_MS / 1000


def test_an_unknown_setting_is_ignored_with_a_line_in_the_log(tmp_path):
    async def body():
        daemon = test_signals.make_daemon(tmp_path, 0)
        text = daemon.settings_path.read_text()
        daemon.settings_path.write_text(text + "new_field: {a: [1]}\n")
        await test_signals.start_blocked(daemon, ["-m", "citrondoor.platform"])
        daemon.process.send_signal(signal.SIGTERM)
        return await test_signals.end_of(daemon), daemon.log_records()

    end, records = asyncio.run(body())
    assert end == (0, "stopped")
    (unknown,) = [r for r in records if r["event"] == "setting_unknown"]
    assert "new_field" in unknown["reason"]
