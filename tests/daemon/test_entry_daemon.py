import pytest

from citrondoor import errors
from citrondoor.daemon import _settings_watch
from citrondoor.daemon import entry_daemon

GOOD = """
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


def read(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    return entry_daemon.read_entry_settings(path)


def test_good_settings_are_read(tmp_path):
    settings = read(tmp_path, GOOD)
    assert settings.bounds.extra_slack == 54.0
    assert settings.bounds.grace_s == 6.0
    assert settings.zones[0].region == "r"


@pytest.mark.parametrize(
    ("old", "new", "found"),
    [
        ("127.0.0.1:1", "127.0.0.1", "front is '127.0.0.1'"),
        ("127.0.0.1:6", "x:70000", r"seeds\[0\]"),
        ("127.0.0.1:7", ":7", "store.address"),
        ("extra_slack: 54", "extra_slack: -1", "extra_slack is -1"),
        ("extra_slack: 54", "extra_slak: 54", "extra_slak"),
        ("vm: vm-1", "zone: b", "zone"),
        ("region: r\nfront", 'region: r\npeer_key: "zz"\nfront', "peer_key"),
    ],
)
def test_a_fault_names_the_setting_and_the_remedy(tmp_path, old, new, found):
    with pytest.raises(errors.DocumentError, match=found):
        read(tmp_path, GOOD.replace(old, new, 1))


class Watched:
    def __init__(self, tmp_path):
        self.path = tmp_path / "settings.yaml"
        self.path.write_text(GOOD)
        self.lines = []
        self.taken = []
        self.watch = _settings_watch.SettingsWatch(
            self.path,
            entry_daemon.read_entry_settings(self.path),
            entry_daemon.read_entry_settings,
            self.taken.append,
            lambda event, **fields: self.lines.append((event, fields)),
        )

    def write(self, text):
        self.path.write_text(text)


def test_a_changed_bound_is_taken_without_a_signal(tmp_path):
    watched = Watched(tmp_path)
    watched.watch.check()
    assert watched.lines == []
    watched.write(GOOD.replace("54", "540"))
    watched.watch.check()
    assert watched.taken[0].bounds.extra_slack == 540.0
    assert watched.lines[0][1]["taken"] == ["bounds"]


def test_a_changed_address_waits_for_a_new_start(tmp_path):
    watched = Watched(tmp_path)
    watched.write(GOOD.replace("127.0.0.1:1", "127.0.0.1:11"))
    watched.watch.check()
    assert watched.taken == []
    assert watched.lines[0][1]["after_restart"] == ["front"]


def test_a_broken_file_leaves_what_is_in_force(tmp_path):
    watched = Watched(tmp_path)
    watched.write("vm: [")
    watched.watch.check()
    assert watched.taken == []
    assert watched.lines[0][0] == "reload_refused"
    watched.write(GOOD.replace("54", "5"))
    watched.watch.check()
    assert watched.taken[0].bounds.extra_slack == 5.0


def test_a_signal_without_a_change_is_noted(tmp_path):
    watched = Watched(tmp_path)
    watched.watch.check(is_signalled=True)
    assert watched.lines == [("reload", {"taken": [], "after_restart": []})]
