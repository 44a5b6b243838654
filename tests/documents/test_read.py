"""Tests reading YAML documents into the schema's classes."""

import pytest

from citrondoor import documents
from citrondoor import errors
from citrondoor.schema import declarations
from citrondoor.schema import settings as schema_settings

VALID_SETTINGS = """\
vm: entry-1
zone: za
address: 127.0.0.1
http_port: 8000
peer_port: 8001
operator_key_digest: "00"
platform: {url: http://127.0.0.1:1}
peers:
  key: "00"
  heartbeat_ms: 100
"""


def read(text: str):
    return documents.read_text(schema_settings.DaemonSettings, "s.yaml", text)


def test_fields_are_read_and_missing_ones_get_defaults():
    settings = read(VALID_SETTINGS)
    assert settings.peers.heartbeat_ms == 100
    assert settings.peers.suspect_ms == 1500
    assert settings.callers.max_body_bytes == 65536


def test_enumerations_are_read_by_name():
    zones = documents.read_text(
        declarations.Zones,
        "zones",
        "zones: [{name: za, region: north, state: out}]",
    )
    assert zones.zones[0].state == declarations.ZoneState.OUT


@pytest.mark.parametrize(
    ("old", "new", "line", "found"),
    [
        ("vm: entry-1", "vmm: entry-1", 1, "unknown key 'vmm'"),
        ("zone: za", "zone: [za]", 2, "is 'a list or mapping'"),
        ("http_port: 8000", "http_port: eight", 4, "'eight'"),
        ("http_port: 8000", "http_port: 0", 4, "is 0; use 1 to 65535"),
        ("http_port: 8000", "http_port: true", 4, "'true'"),
        ("heartbeat_ms: 100", "heartbeat_ms: 1", 10, "use 10 to 10000"),
        ("zone: za", "vm: entry-2", 2, "duplicate key 'vm'"),
        ("vm: entry-1\n", "", 1, "is missing the field 'vm'"),
        ("  key", " - key", 10, "invalid YAML"),
        ("peers:", "peers: 5\nx:", 8, "is not a mapping"),
        ("vm: entry-1", "vm:", 1, "is ''"),
    ],
)
def test_error_is_one_line_with_path_line_fault_and_remedy(
    old, new, line, found
):
    with pytest.raises(errors.DocumentError) as caught:
        read(VALID_SETTINGS.replace(old, new, 1))
    message = str(caught.value)
    assert message.startswith(f"s.yaml:{line}: ")
    assert found in message
    assert "; " in message
    assert "\n" not in message


@pytest.mark.parametrize(
    ("written", "expected"), [("100.0", 100), ("1.0e+3", 1000), ("1_0", 10)]
)
def test_an_integral_fraction_is_read_as_an_integer(written, expected):
    text = VALID_SETTINGS.replace(
        "heartbeat_ms: 100", f"heartbeat_ms: {written}"
    )
    value = read(text).peers.heartbeat_ms
    assert (value, type(value)) == (expected, int)


@pytest.mark.parametrize("written", ["100.5", ".inf", "-.inf", ".nan"])
def test_a_fraction_is_no_integer(written):
    text = VALID_SETTINGS.replace(
        "heartbeat_ms: 100", f"heartbeat_ms: {written}"
    )
    with pytest.raises(errors.DocumentError, match="heartbeat_ms") as caught:
        read(text)
    assert str(caught.value).startswith("s.yaml:10: ")


@pytest.mark.parametrize("written", ["1e3", "1E+3", "10e2", "1.0e3"])
def test_a_number_is_read_as_json_writes_it(written):
    text = VALID_SETTINGS.replace(": 100", f": {written}")
    assert read(text).peers.heartbeat_ms == 1000


@pytest.mark.parametrize("written", ["'1000'", "1e", "e3", "1e400", "0x1e3x"])
def test_a_text_is_no_number(written):
    with pytest.raises(errors.DocumentError, match="heartbeat_ms is"):
        read(VALID_SETTINGS.replace(": 100", f": {written}"))


@pytest.mark.parametrize("written", ["[]", "null", ""])
def test_a_list_without_items_may_be_null(written):
    assert read(f"{VALID_SETTINGS}seeds: {written}\n").seeds == []


def test_a_list_that_is_required_may_not_be_null():
    # A file that is cut off after its key would be valid.
    with pytest.raises(errors.DocumentError, match="is not a list"):
        documents.read_text(declarations.Zones, "zones", "zones:")


def test_unknown_keys_are_ignored_if_the_reader_wants_to_know_of_them():
    unknown = []
    settings = documents.read_text(
        schema_settings.DaemonSettings,
        "s.yaml",
        VALID_SETTINGS + "  new: 1\nnewer: {a: [1]}\n[a, b]: 2\n",
        unknown.append,
    )
    assert settings == read(VALID_SETTINGS)
    assert [str(error).split(":")[1] for error in unknown] == ["11", "12", "13"]


@pytest.mark.parametrize("text", ["", "# nothing\n", "[1]", "5"])
def test_document_that_is_not_a_mapping_is_rejected(text):
    with pytest.raises(errors.DocumentError):
        read(text)


def test_document_over_the_size_limit_is_rejected():
    with pytest.raises(errors.DocumentError, match="1048576 bytes"):
        read(VALID_SETTINGS + "#" * 1_048_577)


def test_missing_file_is_rejected(tmp_path):
    with pytest.raises(errors.DocumentError, match="readable file"):
        documents.read_file(
            schema_settings.DaemonSettings, tmp_path / "none.yaml"
        )
