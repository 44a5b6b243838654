"""Makes the C library return the memory of large messages to the system.

By default, glibc serves allocations of up to 32 MB from its heap once one of
that size has been freed, and keeps what is freed there below anything in use: a
process that has received large bodies stays as large, and grows further as
bodies of other sizes arrive.
"""

try:
    import ctypes
except (ImportError, MemoryError):
    # Built without libffi, or a kernel that allows no generated code.
    ctypes = None

# Allocations from this size on are mapped one by one, and unmapped when freed.
# A read of a socket allocates 256 KB and is below.
MMAP_THRESHOLD_BYTES = 270_336
# Memory at the end of the heap that may stay free.
TRIM_THRESHOLD_BYTES = 2_097_152
# Parameters of `mallopt`, see malloc.h of glibc.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3


def tune() -> bool:
    """Sets fixed thresholds; returns whether the C library has them."""
    if ctypes is None:
        return False
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(
        mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        and mallopt(_M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
    )
