"""Errors that decoders raise for malformed input."""

from __future__ import annotations

import msgspec

DECODE_ERRORS: tuple[type[Exception], ...] = (
    msgspec.DecodeError,
    # Includes invalid UTF-8 and integers with too many digits.
    ValueError,
    OverflowError,
    # Deeply nested input.
    RecursionError,
)
"""Expected for input that other programs write; any of them means that the
input is not used."""
