"""Counts what a caller sends beside bodies, as it arrives."""

from __future__ import annotations

FIRST_LINE_BYTES = 1024
"""Allowed in addition to the limit on heads, bytes: the limit counts neither
the method and the version nor white space around values."""

EMPTY_LINE_BYTES = 4096
"""Longest sequence of empty lines before a request, bytes. Callers send one or
none."""


class FramingCounter:
    """Counts received bytes that belong to no body.

    The parser reports a header when it is complete, which may never happen.
    Data in which a request or a part of a body begins is not counted, as it
    is not known where: the count is below the true one by less than that.

    Attributes
    ----------
    size : int
        Bytes since the last progress.
    """

    def __init__(self) -> None:
        self.size = 0
        self._has_progress = False

    def on_progress(self) -> None:
        """Restart, as a request or a part of a body begins or ends."""
        self.size = 0
        self._has_progress = True

    def add(self, size: int) -> None:
        """Count data that has been parsed, bytes."""
        if not self._has_progress:
            self.size += size
        self._has_progress = False

    def exceeds(self, header_bytes: int, is_in_message: bool) -> bool:
        """Return whether the caller exceeds a limit.

        Parameters
        ----------
        header_bytes : int
            Limit on the head of a request, bytes.
        is_in_message : bool
            Whether a request has begun.
        """
        if is_in_message:
            return self.size > header_bytes + FIRST_LINE_BYTES
        return self.size > EMPTY_LINE_BYTES
