"""What a server's response means for the request that it answers."""

from __future__ import annotations

import enum
import typing

from agatestile.entry import refusals

if typing.TYPE_CHECKING:
    from agatestile.entry import header_port
    from agatestile.transport import messages


class Verdict(enum.Enum):
    """Meaning of a response.

    Only after `REJECTED` the request certainly did not run.

    Attributes
    ----------
    ANSWERED
        The server's answer to the request, which is passed on.
    REJECTED
        The server says that it did not run the request.
    FAILED
        The server failed. Its answer is passed on unless another attempt
        succeeds.
    UNCONFIRMED
        The status would guarantee the caller that the request did not run,
        which the server does not say. It is not passed on.
    BROKEN
        The response lacks its signature, or is a success that says that the
        request did not run.
    """

    ANSWERED = enum.auto()
    REJECTED = enum.auto()
    FAILED = enum.auto()
    UNCONFIRMED = enum.auto()
    BROKEN = enum.auto()


class JudgedResponse(typing.NamedTuple):
    """Response of a server.

    Attributes
    ----------
    response : messages.Response
        The response as it was received.
    server_headers : header_port.ServerHeaders
        Its parsed headers.
    verdict : Verdict
        What it means for its request.
    """

    response: messages.Response
    server_headers: header_port.ServerHeaders
    verdict: Verdict


def judge(
    status: int,
    server_headers: header_port.ServerHeaders,
    is_idempotent: bool,
) -> Verdict:
    """Return what a response means for its request.

    Parameters
    ----------
    status : int
        Status of the response.
    server_headers : header_port.ServerHeaders
        Parsed headers of the response.
    is_idempotent : bool
        Whether the request may run more than once.
    """
    if server_headers.did_not_run:
        return Verdict.REJECTED if status >= 400 else Verdict.BROKEN
    if 200 <= status < 300 and not server_headers.has_signature:
        return Verdict.BROKEN
    if status in refusals.NOT_RUN_STATUSES:
        return Verdict.FAILED if is_idempotent else Verdict.UNCONFIRMED
    if status >= 500:
        return Verdict.FAILED
    return Verdict.ANSWERED
