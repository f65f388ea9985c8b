"""Maps keys to positions in the hash space."""

from __future__ import annotations

import xxhash


def position_of(key: str) -> int:
    """Return the position of a key, from 0 to 2**62 - 1.

    The two lowest bits of the hash are dropped, so that the end of a range
    fits a signed 64-bit integer.
    """
    return int(xxhash.xxh64_intdigest(key.encode("utf-8"))) >> 2
