"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes

LARGE_BLOCK_BYTES = 512 * 1024
"""Size from which memory is mapped by itself, bytes; above that of one read
from a connection, 256 KiB. glibc begins with 128 KiB, but raises it up to 32
MiB as such blocks are released. Bodies that grow then leave gaps in the heap,
and 46 MB of them took 70 MB in a test of hostile callers."""

_M_MMAP_THRESHOLD = -3
"""Number of the parameter in malloc.h."""


def map_large_blocks() -> bool:
    """Have large blocks returned to the system when they are released.

    Returns
    -------
    bool
        False where the C library has no such parameter.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))


def release_free_blocks() -> bool:
    """Return free blocks of the heap to the system.

    Returns
    -------
    bool
        Whether any was returned; False where the C library can't do it.
    """
    try:
        trim = ctypes.CDLL(None).malloc_trim
    except (AttributeError, OSError):
        return False
    return bool(trim(0))
