import subprocess
import sys

import pytest

GOOD = """\
vm: entry-1
zone: za
address: 127.0.0.1
http_port: 8000
peer_port: 8001
operator_key_digest: "{digest}"
platform: {{url: "http://127.0.0.1:1"}}
peers: {{key: "{key}"}}
""".format(digest="0" * 64, key="1" * 32)


def check(path) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "citrondoor.daemon.main", "--check"]
    return subprocess.run(
        [*command, "--settings", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )


def test_good_settings_pass(tmp_path):
    path = tmp_path / "s.yaml"
    path.write_text(GOOD)
    assert check(path).returncode == 0


@pytest.mark.parametrize(
    ("old", "new", "found"),
    [
        ("vm:", "name:", "unknown key 'name'"),
        ("1" * 32, "short", "32 hexadecimal digits"),
        ("peers: {", "peers: {dead_ms: 900, ", "more than suspect_ms"),
        ("zone: za", "seeds: [here]\nzone: za", "use IP:PORT"),
    ],
)
def test_a_fault_is_one_line_and_exit_code_2(tmp_path, old, new, found):
    path = tmp_path / "s.yaml"
    path.write_text(GOOD.replace(old, new, 1))
    ended = check(path)
    assert ended.returncode == 2
    assert found in ended.stderr
    assert len(ended.stderr.splitlines()) == 1
    assert ended.stderr.startswith(f"{path}:")


def test_a_missing_file_is_exit_code_2(tmp_path):
    ended = check(tmp_path / "none.yaml")
    assert ended.returncode == 2
    assert "name a readable file" in ended.stderr
