import pathlib
import shutil

import orjson
import pytest
from click import testing

from citrondoor.cli import main

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
NOWHERE = "http://127.0.0.1:9"


def call(*arguments: str) -> testing.Result:
    return testing.CliRunner().invoke(main.main, list(arguments))


@pytest.fixture
def copy(tmp_path) -> pathlib.Path:
    target = tmp_path / "declarations"
    shutil.copytree(EXAMPLES / "mn-central", target)
    return target


def replace(path: pathlib.Path, old: str, new: str) -> None:
    path.write_text(path.read_text().replace(old, new, 1))


def test_check_finds_contradictions(copy):
    assert call("check", str(copy)).exit_code == 0
    replace(copy / "vms.yaml", "zone: darkhan", "zone: nowhere")
    ended = call("check", "--json", str(copy))
    assert ended.exit_code == 1
    assert "unknown zone 'nowhere'" in ended.output


def test_check_names_the_line_of_a_broken_document(copy):
    replace(copy / "zones.yaml", "state: in", "state: maybe")
    ended = call("check", str(copy))
    assert ended.exit_code == 2
    assert "zones.yaml:4" in ended.output
    assert "use one of: in, out" in ended.output


def test_diff_shows_what_would_change(copy):
    original = str(EXAMPLES / "mn-central")
    assert call("diff", str(copy), "--against", original).exit_code == 0
    replace(copy / "zones.yaml", "state: in", "state: out")
    ended = call("diff", str(copy), "--against", original)
    assert ended.exit_code == 1
    assert ended.output == "changed zones\n  ~ ulaanbaatar-a\n"


def test_contract_show(copy):
    ended = call("contract", "show", "--json", str(copy), "gobi-fire-safety")
    assert orjson.loads(ended.output)["requests a second"] == 50.0
    unknown = call("contract", "show", str(copy), "nobody")
    assert unknown.exit_code == 1
    assert "gobi-fire-safety" in unknown.output


@pytest.mark.parametrize(
    "command",
    [["entries"], ["search", "b", "q"], ["run", "b", "x"], ["status"]],
)
def test_unreachable_daemons_are_exit_code_3(command):
    ended = call("--entry", NOWHERE, *command)
    assert ended.exit_code == 3
    assert "reach" in ended.output
    assert "\x1b[" not in ended.output


def test_usage_is_exit_code_2():
    assert call("search").exit_code == 2
    assert "Exit codes" in call("--help").output
