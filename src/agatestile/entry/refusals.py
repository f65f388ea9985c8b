"""Responses that this host generates instead of a server."""

from __future__ import annotations

import typing

from agatestile.limits import retry_after as retry_after_module
from agatestile.results import codes
from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.entry import header_port

INVALID_ENTRY_RETRY_AFTER = 1.0
"""Retry-after time for requests to an entry of the configuration that cannot
be used, seconds: another host may run another release."""

STATUS_BY_CODE = {
    codes.ResultCode.BAD_REQUEST: 400,
    codes.ResultCode.UNAUTHENTICATED: 401,
    codes.ResultCode.NO_ROUTE: 404,
    codes.ResultCode.NO_CONFIGURATION: 503,
    codes.ResultCode.CONFIGURATION_OUTDATED: 503,
    codes.ResultCode.CONFIGURATION_INVALID: 503,
    codes.ResultCode.QUOTA_EXCEEDED: 429,
    codes.ResultCode.NO_OWNER: 503,
    codes.ResultCode.RANGE_MOVING: 503,
    codes.ResultCode.NO_SERVER: 503,
    codes.ResultCode.OVERLOADED: 503,
    codes.ResultCode.SERVER_SHED: 503,
    codes.ResultCode.CONNECT_FAILED: 503,
    codes.ResultCode.SHUTTING_DOWN: 503,
    codes.ResultCode.DEADLINE_PASSED: 503,
    codes.ResultCode.OUTCOME_UNKNOWN: 502,
    codes.ResultCode.ANSWER_BROKEN: 502,
    codes.ResultCode.ANSWER_TIMEOUT: 504,
    codes.ResultCode.REJECTION_UNCONFIRMED: 502,
}
"""HTTP status by result code; 429 and 503 guarantee that the request did not
run."""

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that guarantee a caller that its request did not run."""


class RequestRefusal(typing.NamedTuple):
    """Why a request ends with a response that this host generates.

    Attributes
    ----------
    code : codes.ResultCode
        Result of the request.
    reason : str
        One sentence for the log.
    retry_after : float or None
        Time after which the caller should retry, seconds.
    """

    code: codes.ResultCode
    reason: str
    retry_after: float | None = None


def invalid_entry(name: str, reason: str) -> RequestRefusal:
    """Return the refusal of a request to an entry that cannot be used.

    Parameters
    ----------
    name : str
        Entry of the configuration.
    reason : str
        Why it cannot be used.
    """
    return RequestRefusal(
        codes.ResultCode.CONFIGURATION_INVALID,
        f"the configuration of {name} cannot be used: {reason}",
        INVALID_ENTRY_RETRY_AFTER,
    )


def response(
    refusal: RequestRefusal,
    time_left: float,
    header_format: header_port.HeaderFormat,
) -> messages.Response:
    """Return the response for a refusal.

    Parameters
    ----------
    refusal : RequestRefusal
        Why the request ends.
    time_left : float
        How long the caller still waits for a response, seconds.
    header_format : header_port.HeaderFormat
        Names and formats of headers.
    """
    status = STATUS_BY_CODE[refusal.code]
    retry_after = None
    if status in (429, 503):
        retry_after = retry_after_module.bounded(
            refusal.retry_after, time_left
        )
    return messages.Response(
        status, header_format.refusal_headers(retry_after), b""
    )
