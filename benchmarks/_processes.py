"""Readings of processes that benchmarks start."""

import pathlib

BYTES_PER_MB = 1_000_000
# `getconf PAGESIZE`.
PAGE_BYTES = 4096


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / BYTES_PER_MB
