"""Values returned instead of exceptions for expected failures."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from agatestile.results import codes


class Refusal(typing.NamedTuple):
    """An expected failure, returned rather than raised.

    Attributes
    ----------
    code : codes.ResultCode
        Kind of the failure.
    reason : str
        One short sentence for a log line or an operator.
    """

    code: codes.ResultCode
    reason: str

    def __str__(self) -> str:
        return f"{self.code.name} ({int(self.code)}): {self.reason}"
