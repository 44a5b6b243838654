import subprocess
import sys

import pytest

VALID_SETTINGS = """\
vm: entry-1
zone: za
address: 127.0.0.1
http_port: 8000
peer_port: 8001
operator_key_digest: "{digest}"
platform: {{url: "http://127.0.0.1:1"}}
peers: {{key: "{key}"}}
""".format(digest="0" * 64, key="1" * 32)


def run_check(path) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "citrondoor.daemon.main", "--check"]
    return subprocess.run(
        [*command, "--settings", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )


def test_valid_settings_pass_the_check(tmp_path):
    path = tmp_path / "s.yaml"
    path.write_text(VALID_SETTINGS)
    assert run_check(path).returncode == 0


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("vm:", "name:", "unknown key 'name'"),
        ("1" * 32, "short", "32 hexadecimal digits"),
        ("peers: {", "peers: {dead_ms: 900, ", "more than suspect_ms"),
        ("zone: za", "seeds: [here]\nzone: za", "use IP:PORT"),
    ],
)
def test_invalid_settings_print_one_line_and_exit_with_2(
    tmp_path, old, new, message
):
    path = tmp_path / "s.yaml"
    path.write_text(VALID_SETTINGS.replace(old, new, 1))
    completed = run_check(path)
    assert completed.returncode == 2
    assert message in completed.stderr
    assert len(completed.stderr.splitlines()) == 1
    assert completed.stderr.startswith(f"{path}:")


def test_missing_file_exits_with_2(tmp_path):
    completed = run_check(tmp_path / "none.yaml")
    assert completed.returncode == 2
    assert "name a readable file" in completed.stderr
