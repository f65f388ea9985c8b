"""Answers of this host's own."""

from __future__ import annotations

import typing

from agatestile.results import codes
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.entry import header_port

LEAST_RETRY_AFTER = 0.05
"""Shortest pause that a refused caller is asked for, seconds."""

RETURN_SHARE = 1.0 / 3.0
"""Part of its remaining time that a caller is willing to pause."""

STATUS_BY_CODE = {
    codes.ResultCode.BAD_REQUEST: 400,
    codes.ResultCode.NO_ROUTE: 404,
    codes.ResultCode.NO_CONFIGURATION: 503,
    codes.ResultCode.NO_OWNER: 503,
    codes.ResultCode.RANGE_MOVING: 503,
    codes.ResultCode.NO_SERVER: 503,
    codes.ResultCode.OVERLOADED: 503,
    codes.ResultCode.SERVER_SHED: 503,
    codes.ResultCode.CONNECT_FAILED: 503,
    codes.ResultCode.DEADLINE_PASSED: 503,
    codes.ResultCode.OUTCOME_UNKNOWN: 502,
    codes.ResultCode.ANSWER_BROKEN: 502,
    codes.ResultCode.ANSWER_TIMEOUT: 504,
}
"""Statuses of own answers; 503 promises that the request has not run."""


class Verdict(typing.NamedTuple):
    """Why a request ends with an answer of this host's own.

    Attributes
    ----------
    code : codes.ResultCode
        What happened.
    reason : str
        One sentence for the log.
    retry_after : float or None
        When the caller should come back, seconds.
    """

    code: codes.ResultCode
    reason: str
    retry_after: float | None = None


def answer(
    verdict: Verdict,
    time_left: float,
    header_format: header_port.HeaderFormat,
) -> messages.Response:
    """Return the answer for a verdict.

    Parameters
    ----------
    verdict : Verdict
        Why the request ends.
    time_left : float
        How long the caller would wait, seconds.
    header_format : header_port.HeaderFormat
        Names of headers.
    """
    status = STATUS_BY_CODE[verdict.code]
    pause = None
    if status == 503:
        pause = bounded_pause(verdict.retry_after, time_left)
    return messages.Response(status, header_format.refusal_headers(pause), b"")


def bounded_pause(wanted: float | None, time_left: float) -> float:
    """Return a pause that leaves the caller time for its next attempt."""
    longest = max(LEAST_RETRY_AFTER, time_left * RETURN_SHARE * 0.9)
    if wanted is None:
        return LEAST_RETRY_AFTER
    return min(max(LEAST_RETRY_AFTER, wanted), longest)
