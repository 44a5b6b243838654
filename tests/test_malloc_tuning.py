import platform
import subprocess
import sys

import pytest

PROGRAM = """
import os, pathlib
from citrondoor import malloc_tuning

def resident_mb():
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

if {is_tuned}:
    assert malloc_tuning.tune()
large = bytearray(16_000_000)
del large
before_mb = resident_mb()
bodies = [bytearray(n * 100_000) for n in range(1, 60)]
last = bytearray(100_000)
del bodies
print(resident_mb() - before_mb)
"""


def run(is_tuned):
    program = PROGRAM.format(is_tuned=is_tuned)
    return float(subprocess.check_output([sys.executable, "-c", program]))


@pytest.mark.skipif(
    platform.libc_ver()[0] != "glibc", reason="another C library"
)
def test_memory_of_freed_bodies_returns_to_the_system():
    # Without the fixed thresholds, 177 MB stay resident.
    assert run(is_tuned=False) > 100
    assert run(is_tuned=True) < 10


def test_an_interpreter_without_ctypes_starts_the_daemon():
    program = (
        "import sys; sys.modules['ctypes'] = None\n"
        "from citrondoor import malloc_tuning\n"
        "import citrondoor.platform._command\n"
        "assert not malloc_tuning.tune()"
    )
    subprocess.run([sys.executable, "-c", program], check=True)
