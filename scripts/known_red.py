"""Runs all tests except those with a known failure; prints which it skips.

Each line `test: NODE_ID` of KNOWN-RED.txt names such a test.
"""

import pathlib
import subprocess
import sys

KNOWN_RED_PATH = pathlib.Path("KNOWN-RED.txt")
ENTRY_PREFIX = "test: "


def main() -> int:
    """Runs the tests and returns the exit code of pytest."""
    lines = (
        KNOWN_RED_PATH.read_text().splitlines()
        if KNOWN_RED_PATH.exists()
        else []
    )
    node_ids = [
        line[len(ENTRY_PREFIX) :]
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    ]
    for node_id in node_ids:
        print(f"skipped as known red: {node_id}")
    deselect_options = [f"--deselect={node_id}" for node_id in node_ids]
    command = [sys.executable, "-m", "pytest", "tests", *deselect_options]
    return subprocess.run(command, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
