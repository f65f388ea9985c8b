"""Responses to callers: refusals as JSON, headers of server responses."""

from __future__ import annotations

import typing

import anyio
import msgspec

from agatestile.gateway import parsing
from agatestile.results import codes

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi
    from agatestile.results import outcomes

RUN, NOT_RUN, UNKNOWN = "run", "not-run", "unknown"

LINGER_SECONDS = 1.0
LINGER_BYTES = 4 * 1024 * 1024
"""Limits on reading and dropping the rest of a refused body."""

_CODES = codes.ResultCode
_STATUS_BY_CODE = {
    _CODES.BAD_REQUEST: 400,
    _CODES.UNKNOWN_SERVICE: 404,
    _CODES.MISSING_KEY: 400,
    _CODES.METHOD_NOT_ALLOWED: 405,
    _CODES.BODY_TOO_LARGE: 413,
    _CODES.HEADERS_TOO_LARGE: 431,
    _CODES.SLOW_SENDER: 408,
    _CODES.DEADLINE_PASSED: 504,
    _CODES.DUPLICATE_RUNNING: 409,
    _CODES.OUTCOME_UNKNOWN: 502,
    _CODES.ANSWER_BROKEN: 502,
    _CODES.REPEATED_AFTER_TAKEOVER: 409,
}
_ALLOW = ", ".join(sorted(parsing.METHODS)).encode()
_REMOVED_HEADERS = parsing.HOP_BY_HOP_HEADERS


def run_state_of(code: codes.ResultCode) -> str:
    """Return whether a request that ended with a code ran."""
    if code == _CODES.ANSWERED:
        return RUN
    return NOT_RUN if codes.did_not_run(code) else UNKNOWN


def status_of(code: codes.ResultCode) -> int:
    """Return the HTTP status of a refusal.

    Generic callers repeat a request after a 503.
    """
    default = 503 if codes.did_not_run(code) else 502
    return _STATUS_BY_CODE.get(code, default)


def error_parts(
    refusal: outcomes.Refusal, owner: str = ""
) -> tuple[int, asgi.Headers, bytes]:
    """Return status, headers and body of a refusal."""
    code = refusal.code
    run = run_state_of(code)
    body = msgspec.json.encode(
        {
            "code": int(code),
            "name": code.name,
            "reason": refusal.reason,
            "run": run,
        }
    )
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        *result_headers(int(code), run, owner),
    ]
    if code == _CODES.METHOD_NOT_ALLOWED:
        headers.append((b"allow", _ALLOW))
    return status_of(code), headers, body


async def send_error(
    send: asgi.Send, refusal: outcomes.Refusal, owner: str = ""
) -> None:
    """Send a refusal as the response."""
    status, headers, body = error_parts(refusal, owner)
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


async def send_early_error(
    channels: tuple[asgi.Receive, asgi.Send],
    refusal: outcomes.Refusal,
    owner: str = "",
) -> None:
    """Send a refusal as the response before the whole body was read.

    A part of the body is read and dropped before the connection is closed:
    closing immediately would reset the connection while the caller is still
    sending, and the reset would discard the response.
    """
    receive, send = channels
    status, headers, body = error_parts(refusal, owner)
    headers.append((b"connection", b"close"))
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body, "more_body": True})
    with anyio.move_on_after(LINGER_SECONDS):
        remaining_bytes = LINGER_BYTES
        while remaining_bytes > 0:
            message = await receive()
            remaining_bytes -= len(message.get("body", b""))
            if not message.get("more_body", False):
                break
    await send({"type": "http.response.body", "body": b""})


def result_headers(code: int, run: str, owner: str) -> asgi.Headers:
    """Return the headers of every response (section 8 of docs/design.md)."""
    headers = [
        (b"x-agatestile-code", b"%d" % code),
        (b"x-agatestile-run", run.encode()),
    ]
    if owner:
        headers.append((b"x-agatestile-owner", owner.encode()))
    return headers


def split_response_headers(
    headers: asgi.Headers, keep_result_headers: bool
) -> tuple[asgi.Headers, dict[bytes, bytes]]:
    """Split the headers of a response.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        As received.
    keep_result_headers : bool
        Whether the response comes from another daemon, whose headers
        ``x-agatestile-*`` are kept. Those of a server are removed.

    Returns
    -------
    list, dict
        Headers to send to the caller, and the removed ones by name.
    """
    forwarded = []
    removed: dict[bytes, bytes] = {}
    for name, value in headers:
        name = name.lower()
        if name in _REMOVED_HEADERS or (
            not keep_result_headers
            and (name.startswith(b"x-agatestile-") or name == b"x-refused")
        ):
            removed[name] = value
        else:
            forwarded.append((name, value))
    named = removed.get(b"connection")
    if named is not None and named.lower() not in (b"keep-alive", b"close"):
        forwarded = parsing.remove_named(forwarded, named)
    return forwarded, removed
