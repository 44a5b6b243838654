import os
import pathlib
import shutil
import subprocess
import sys

import pytest

SCRIPT = pathlib.Path(__file__).parents[2] / "deploy" / "build.sh"
# Stands in for pip, which needs a package index: installs a marker.
PYTHON = f"""#!/bin/sh
case "$*" in
*"pip install"*)
  mkdir -p target/deps
  echo "$MACHINE" > target/deps/installed
  echo pip >> calls
  ;;
*) exec {sys.executable} "$@" ;;
esac
"""


@pytest.fixture
def build(tmp_path):
    """Runs the build of a small checkout as on a machine of some kind."""
    (tmp_path / "deploy").mkdir()
    shutil.copy(SCRIPT, tmp_path / "deploy")
    (tmp_path / "deploy" / "requirements.txt").write_text("orjson\n")
    (tmp_path / "citrondoor").mkdir()
    (tmp_path / "citrondoor" / "__init__.py").write_text("")
    programs = tmp_path / "bin"
    programs.mkdir()
    write_program(programs / "python3", PYTHON)

    def run(machine):
        write_program(programs / "uname", f"#!/bin/sh\necho {machine}\n")
        path = f"{programs}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", "deploy/build.sh"],
            cwd=tmp_path,
            env=os.environ | {"PATH": path, "MACHINE": machine},
            check=True,
        )
        return tmp_path

    return run


def write_program(path, text):
    path.write_text(text)
    path.chmod(0o755)


def test_libraries_built_for_another_kind_of_machine_are_not_kept(build):
    build("x86_64")
    folder = build("aarch64")
    assert (folder / "target/deps/installed").read_text() == "aarch64\n"
    assert (folder / "target/deps/citrondoor/__init__.py").exists()


def test_libraries_of_the_same_machine_are_installed_once(build):
    build("x86_64")
    folder = build("x86_64")
    assert (folder / "calls").read_text() == "pip\n"
