"""HTTP requests, responses and transport failures."""

from __future__ import annotations

import enum
import typing

Headers = list[tuple[bytes, bytes]]
"""Header names in lower case with values stripped of white space."""

COPIED_BODY_BYTES = 64 * 1024
"""Largest received body that is copied into one of fixed size, bytes."""

_STATUSES_WITHOUT_BODY = frozenset((204, 304))

REASON_PHRASES_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
"""Headers that apply to a single connection and are not forwarded."""


class Request(typing.NamedTuple):
    """A complete HTTP request.

    Attributes
    ----------
    method, target : bytes
        Method and target of the first line.
    headers : Headers
        Headers in the order in which they arrived.
    body : bytes or bytearray
        Complete body; a large one is not copied into `bytes`.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent."""
        return find_header(self.headers, name)


class Response(typing.NamedTuple):
    """A complete HTTP response.

    Attributes
    ----------
    status : int
        Status code.
    headers : Headers
        Headers in the order in which they arrived.
    body : bytes or bytearray
        Complete body; a large one is not copied into `bytes`.
    receive_seconds : float
        Time between the first and the last byte, for received responses.
    """

    status: int
    headers: Headers
    body: bytes | bytearray
    receive_seconds: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent."""
        return find_header(self.headers, name)


class FailureKind(enum.Enum):
    """What is known about a request that got no response."""

    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


class Failure(typing.NamedTuple):
    """The result of a request that got no valid response.

    Attributes
    ----------
    kind : FailureKind
        Whether the server may have read the request.
    reason : str
        One sentence for a log line.
    """

    kind: FailureKind
    reason: str

    @classmethod
    def not_sent(cls, reason: str) -> Failure:
        """Return the failure of a request that no server has read."""
        return cls(FailureKind.NOT_SENT, reason)

    @classmethod
    def unknown(cls, reason: str) -> Failure:
        """Return the failure of a request that a server may have read."""
        return cls(FailureKind.UNKNOWN, reason)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, None if it is absent."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def encode_head(start_line: bytes, headers: Headers) -> bytes:
    """Encode a start line and headers, up to the empty line."""
    lines = [start_line]
    lines += [b"%b: %b" % pair for pair in headers]
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def encode_request_head(request: Request, headers: Headers) -> bytes:
    """Encode the head of a request with these headers and its length."""
    if request.body or request.method not in (b"GET", b"HEAD"):
        length = b"%d" % len(request.body)
        headers = [*headers, (b"content-length", length)]
    start = b"%b %b HTTP/1.1" % (request.method, request.target)
    return encode_head(start, headers)


def encode_response_head(
    method: bytes, response: Response, keep_alive: bool
) -> bytes:
    """Encode the head of a response with its length.

    Parameters
    ----------
    method : bytes
        Method of the request; a response to HEAD has no body.
    response : Response
        The response.
    keep_alive : bool
        Whether the connection stays open.
    """
    headers = list(response.headers)
    if response.status not in _STATUSES_WITHOUT_BODY and method != b"HEAD":
        headers.append((b"content-length", b"%d" % len(response.body)))
    if not keep_alive:
        headers.append((b"connection", b"close"))
    reason = REASON_PHRASES_BY_STATUS.get(response.status, b"Status")
    return encode_head(b"HTTP/1.1 %d %b" % (response.status, reason), headers)


def fixed_body(received: bytearray) -> bytes | bytearray:
    """Return a received body, as `bytes` unless it is large."""
    if len(received) <= COPIED_BODY_BYTES:
        return bytes(received)
    return received
