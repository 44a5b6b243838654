"""Tests the command-line tool with the example declarations."""

import pathlib
import shutil

import orjson
import pytest
from click import testing

from citrondoor.cli import main

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
UNREACHABLE_URL = "http://127.0.0.1:9"


def invoke(*arguments: str) -> testing.Result:
    return testing.CliRunner().invoke(main.main, list(arguments))


@pytest.fixture
def directory(tmp_path) -> pathlib.Path:
    target = tmp_path / "declarations"
    shutil.copytree(EXAMPLES / "mn-central", target)
    return target


def replace_first(path: pathlib.Path, old: str, new: str) -> None:
    path.write_text(path.read_text().replace(old, new, 1))


def test_check_reports_a_reference_to_an_unknown_zone(directory):
    assert invoke("check", str(directory)).exit_code == 0
    replace_first(directory / "vms.yaml", "zone: darkhan", "zone: nowhere")
    outcome = invoke("check", "--json", str(directory))
    assert outcome.exit_code == 1
    assert "unknown zone 'nowhere'" in outcome.output


def test_check_reports_the_line_of_an_invalid_value(directory):
    replace_first(directory / "zones.yaml", "state: in", "state: maybe")
    outcome = invoke("check", str(directory))
    assert outcome.exit_code == 2
    assert "zones.yaml:4" in outcome.output
    assert "use one of: in, out" in outcome.output


def test_diff_lists_changed_items_of_a_document(directory):
    original = str(EXAMPLES / "mn-central")
    assert invoke("diff", str(directory), "--against", original).exit_code == 0
    replace_first(directory / "zones.yaml", "state: in", "state: out")
    outcome = invoke("diff", str(directory), "--against", original)
    assert outcome.exit_code == 1
    assert outcome.output == "changed zones\n  ~ ulaanbaatar-a\n"


def test_contract_show_prints_terms_and_lists_known_customers(directory):
    outcome = invoke(
        "contract", "show", "--json", str(directory), "gobi-fire-safety"
    )
    assert orjson.loads(outcome.output)["requests a second"] == 50.0
    unknown = invoke("contract", "show", str(directory), "nobody")
    assert unknown.exit_code == 1
    assert "gobi-fire-safety" in unknown.output


@pytest.mark.parametrize(
    "command",
    [["entries"], ["search", "b", "q"], ["run", "b", "x"], ["status"]],
)
def test_unreachable_daemon_gives_exit_code_3_without_colours(command):
    outcome = invoke("--entry", UNREACHABLE_URL, *command)
    assert outcome.exit_code == 3
    assert "reach" in outcome.output
    assert "\x1b[" not in outcome.output


def test_usage_error_gives_exit_code_2_and_help_lists_codes():
    assert invoke("search").exit_code == 2
    assert "Exit codes" in invoke("--help").output
