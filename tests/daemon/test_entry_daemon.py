import pytest

from citrondoor import errors
from citrondoor.daemon import _settings_watch
from citrondoor.daemon import entry_daemon
from citrondoor.schema import serving

VALID_SETTINGS = """
vm: vm-1
zone: a
region: r
front: "127.0.0.1:1"
readiness: "127.0.0.1:2"
directory: "127.0.0.1:3"
peers: "127.0.0.1:4"
metrics: "127.0.0.1:5"
seeds: ["127.0.0.1:6"]
store:
  address: "127.0.0.1:7"
bounds:
  extra_slack: 54
zones:
  - zone: a
    region: r
"""


def read_settings(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    return entry_daemon.read_entry_settings(path)


def test_valid_settings_are_read_and_defaults_filled_in(tmp_path):
    settings = read_settings(tmp_path, VALID_SETTINGS)
    assert settings.bounds.extra_slack == 54.0
    assert settings.bounds.grace_s == 6.0
    assert settings.zones[0].region == "r"


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("127.0.0.1:1", "127.0.0.1", "front is '127.0.0.1'"),
        ("127.0.0.1:6", "x:70000", r"seeds\[0\]"),
        ("127.0.0.1:7", ":7", "store.address"),
        ("127.0.0.1:7", "127.0.0.1:²", "store.address"),
        ("extra_slack: 54", "extra_slack: -1", "extra_slack is -1"),
        ("extra_slack: 54", "extra_slak: 54", "extra_slak"),
        ("vm: vm-1", "zone: b", "zone"),
        ("region: r\nfront", 'region: r\npeer_key: "zz"\nfront', "peer_key"),
    ],
)
def test_error_names_the_invalid_setting(tmp_path, old, new, message):
    with pytest.raises(errors.DocumentError, match=message):
        read_settings(tmp_path, VALID_SETTINGS.replace(old, new, 1))


def test_unknown_settings_are_reported_and_ignored(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(VALID_SETTINGS.replace("extra_slack", "extra_slak"))
    unknown = []
    settings = entry_daemon.read_entry_settings(path, unknown.append)
    assert settings.bounds.extra_slack == serving.BoundSettings().extra_slack
    (error,) = unknown
    assert "unknown key 'extra_slak'" in str(error)


class WatchedFile:
    """A settings file with its watch, and what the watch reported."""

    def __init__(self, tmp_path):
        self.path = tmp_path / "settings.yaml"
        self.path.write_text(VALID_SETTINGS)
        self.events = []
        self.applied = []
        self.watch = _settings_watch.SettingsWatch(
            self.path,
            entry_daemon.read_entry_settings(self.path),
            entry_daemon.read_entry_settings,
            self.applied.append,
            lambda event, **fields: self.events.append((event, fields)),
        )

    def write(self, text):
        self.path.write_text(text)


def test_changed_bounds_are_applied_without_a_signal(tmp_path):
    watched = WatchedFile(tmp_path)
    watched.watch.check()
    assert watched.events == []
    watched.write(VALID_SETTINGS.replace("54", "540"))
    watched.watch.check()
    assert watched.applied[0].bounds.extra_slack == 540.0
    assert watched.events[0][1]["taken"] == ["bounds"]


def test_changed_address_is_reported_as_needing_a_restart(tmp_path):
    watched = WatchedFile(tmp_path)
    watched.write(VALID_SETTINGS.replace("127.0.0.1:1", "127.0.0.1:11"))
    watched.watch.check()
    assert watched.applied == []
    assert watched.events[0][1]["after_restart"] == ["front"]


def test_invalid_file_keeps_the_active_settings(tmp_path):
    watched = WatchedFile(tmp_path)
    watched.write("vm: [")
    watched.watch.check()
    assert watched.applied == []
    assert watched.events[0][0] == "reload_refused"
    watched.write(VALID_SETTINGS.replace("54", "5"))
    watched.watch.check()
    assert watched.applied[0].bounds.extra_slack == 5.0


def test_signal_without_a_change_is_logged(tmp_path):
    watched = WatchedFile(tmp_path)
    watched.watch.check(is_signalled=True)
    assert watched.events == [("reload", {"taken": [], "after_restart": []})]
