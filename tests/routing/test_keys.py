"""Mapping of keys to positions."""

from __future__ import annotations

from agatestile.routing import keys
from agatestile.state import ranges


def test_positions_are_the_same_in_every_release() -> None:
    """Guards against a change of the hash, which would move all keys."""
    assert keys.position_of("") == 0xEF46DB3751D8E999 >> 2
    assert 0 <= keys.position_of("żyto-17") < ranges.END
