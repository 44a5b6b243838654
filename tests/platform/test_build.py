import os
import pathlib
import shutil
import subprocess
import sys
import time

import pytest

SCRIPT = pathlib.Path(__file__).parents[2] / "deploy" / "build.sh"
# Stands in for pip, which needs a package index: installs a marker.
PYTHON = f"""#!/bin/sh
case "$*" in
*"pip install"*)
  echo pip >> calls
  while [ "$1" != --target ]; do shift; done
  sleep "$PIP_S"
  mkdir -p "$2"
  echo "$MACHINE" > "$2/installed"
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
    (tmp_path / "constraints.txt").write_text("orjson==1\n")
    (tmp_path / "citrondoor" / "platform").mkdir(parents=True)
    (tmp_path / "citrondoor" / "__init__.py").write_text("")
    (tmp_path / "citrondoor" / "platform" / "_command.py").write_text("")
    programs = tmp_path / "bin"
    programs.mkdir()
    write_program(programs / "python3", PYTHON)

    def start(machine, pip_s=0.0):
        write_program(programs / "uname", f"#!/bin/sh\necho {machine}\n")
        path = f"{programs}:{os.environ['PATH']}"
        return subprocess.Popen(
            ["sh", "deploy/build.sh"],
            cwd=tmp_path,
            env=os.environ
            | {"PATH": path, "MACHINE": machine, "PIP_S": str(pip_s)},
        )

    def run(machine):
        assert start(machine).wait() == 0
        return tmp_path

    run.start = start
    run.folder = tmp_path
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


def change_package(folder, number):
    path = folder / "citrondoor" / "__init__.py"
    path.write_text(f"number = {number}\n")


def test_a_start_during_a_build_finds_the_whole_package(build):
    # A build moved the package away before it put the new one in its place.
    build("x86_64")
    package = build.folder / "target/deps/citrondoor/__init__.py"
    misses = 0
    for number in range(8):
        change_package(build.folder, number)
        process = build.start("x86_64")
        while process.poll() is None:
            misses += not package.exists()
        assert process.returncode == 0
        assert package.read_text() == f"number = {number}\n"
    assert misses == 0


def test_a_build_leaves_the_libraries_while_it_installs_others(build):
    # A build removed the libraries that running daemons still imported.
    build("x86_64")
    process = build.start("aarch64", pip_s=0.3)
    misses = 0
    while process.poll() is None:
        misses += not (build.folder / "target/deps/installed").exists()
    assert (process.returncode, misses) == (0, 0)


def test_builds_at_the_same_time_succeed(build):
    # The second removed what the first had installed.
    first = build.start("x86_64", pip_s=0.6)
    time.sleep(0.2)
    second = build.start("x86_64", pip_s=0.6)
    assert (first.wait(), second.wait()) == (0, 0)
    assert (build.folder / "target/deps/installed").exists()
    assert (build.folder / "target/deps/citrondoor/__init__.py").exists()


def test_an_interrupted_build_is_made_up_for_by_the_next(build):
    process = build.start("x86_64", pip_s=2.0)
    while not (build.folder / "calls").exists():
        time.sleep(0.01)
    process.kill()
    process.wait()
    folder = build("x86_64")
    assert (folder / "target/deps/citrondoor/__init__.py").exists()


def test_a_start_imports_all_modules_from_one_build(tmp_path):
    # A build in between mixed modules of two versions.
    for name in ("old", "new"):
        package = tmp_path / name / "citrondoor" / "platform"
        package.mkdir(parents=True)
        (package / "_command.py").write_text(f"print({name!r})\n")
        (package / "__main__.py").write_text(
            "import os\n"
            "os.replace('link', 'deps')\n"
            "def main():\n"
            "    from citrondoor.platform import _command\n"
        )
    (tmp_path / "deps").symlink_to("old")
    (tmp_path / "link").symlink_to("new")
    result = subprocess.run(
        [sys.executable, "-S", "-P", SCRIPT.with_name("entry.py")],
        cwd=tmp_path,
        env={"PYTHONPATH": "deps"},
        capture_output=True,
        text=True,
    )
    assert (result.stdout, result.stderr) == ("old\n", "")
