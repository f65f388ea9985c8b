"""Parses the head of a request."""

from __future__ import annotations

import typing

from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi

METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"))
SAFE_METHODS = frozenset(("GET", "HEAD"))
MAX_IDENTIFIER_LENGTH = 128
"""Maximum length, in characters, as gates keep the identifiers."""

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
        b"host",
    )
)
"""Headers that apply to a single connection and are not forwarded. The host
header is replaced by the address of the next hop."""

_INTERNAL_HEADERS = frozenset(
    (
        b"x-fence",
        b"x-deadline-ms",
        b"x-request-id",
        b"x-refused",
        b"x-agatestile-code",
        b"x-agatestile-run",
        b"x-agatestile-owner",
        b"x-agatestile-timeout-ms",
        b"x-agatestile-request-id",
        b"x-agatestile-attempt",
        b"x-agatestile-key",
    )
)
"""Headers that daemons and servers exchange. They are removed from callers'
requests, so that no caller can set them for a server."""

_REMOVED_HEADERS = HOP_BY_HOP_HEADERS | _INTERNAL_HEADERS | {b"content-length"}


class Request(typing.NamedTuple):
    """Head of a request.

    Attributes
    ----------
    method : str
        HTTP method.
    target : bytes
        Path and query as received.
    service, key : str
        Service and key that the request is routed by.
    key_header : bytes
        Value of the header with the key, empty if the key is in the path.
    headers : list of (bytes, bytes)
        Headers that are forwarded to the server.
    content_length : int or None
        Declared length of the body in bytes, None if it is not declared.
    timeout : float or None
        Timeout set by the caller in seconds, None for the service's.
    identifier : str
        Request identifier set by the caller, empty if there is none.
    attempt : int
        Number of the attempt; above 1 for a request that the caller
        marked as repeated.
    """

    method: str
    target: bytes
    service: str
    key: str
    key_header: bytes
    headers: asgi.Headers
    content_length: int | None
    timeout: float | None
    identifier: str
    attempt: int


def parse(scope: asgi.Scope) -> Request | outcomes.Refusal:
    """Parse the head of a request from its ASGI scope.

    Returns
    -------
    Request or Refusal
        The refusal has the code ``METHOD_NOT_ALLOWED``, ``MISSING_KEY`` or
        ``BAD_REQUEST``.
    """
    method = scope["method"]
    if method not in METHODS:
        return outcomes.Refusal(
            codes.ResultCode.METHOD_NOT_ALLOWED,
            f"method {method[:16]!r} is not allowed",
        )
    forwarded, removed = split_headers(scope["headers"])
    path: str = scope["path"]
    service, _, key = path[1:].partition("/")
    key_header = b""
    if not key:
        key_header = removed.get(b"x-agatestile-key", b"")
        key = key_header.decode("latin-1")
    if not service or not key:
        return outcomes.Refusal(
            codes.ResultCode.MISSING_KEY,
            "the path must be /service/key, or /service with the header "
            "x-agatestile-key",
        )
    if "/." in path and _has_dot_segment(path):
        return _refuse("the path contains a segment . or ..")
    return _from_headers(scope, forwarded, removed, (service, key, key_header))


def split_headers(
    headers: asgi.Headers,
) -> tuple[asgi.Headers, dict[bytes, bytes]]:
    """Return the headers to forward, and the others by name."""
    forwarded = []
    removed: dict[bytes, bytes] = {}
    for pair in headers:
        if pair[0] in _REMOVED_HEADERS:
            removed[pair[0]] = pair[1]
        else:
            forwarded.append(pair)
    named = removed.get(b"connection")
    if named is not None and named not in (b"keep-alive", b"close"):
        forwarded = remove_named(forwarded, named)
    return forwarded, removed


def remove_named(headers: asgi.Headers, connection: bytes) -> asgi.Headers:
    """Remove the headers that are listed in a connection header."""
    names = {name.strip().lower() for name in connection.split(b",")}
    return [pair for pair in headers if pair[0] not in names]


def _from_headers(
    scope: asgi.Scope,
    forwarded: asgi.Headers,
    removed: dict[bytes, bytes],
    destination: tuple[str, str, bytes],
) -> Request | outcomes.Refusal:
    length = _parse_number(removed.get(b"content-length"))
    timeout_ms = _parse_number(removed.get(b"x-agatestile-timeout-ms"))
    attempt = _parse_number(removed.get(b"x-agatestile-attempt"))
    if length == -1 or timeout_ms == -1 or attempt == -1:
        return _refuse(
            "content-length, x-agatestile-timeout-ms or x-agatestile-attempt "
            "is not a whole number of at most 15 digits"
        )
    identifier = removed.get(b"x-agatestile-request-id", b"").decode("latin-1")
    if len(identifier) > MAX_IDENTIFIER_LENGTH or not _is_printable(
        identifier
    ):
        return _refuse(
            "x-agatestile-request-id is not printable ASCII or is longer than "
            f"{MAX_IDENTIFIER_LENGTH} characters"
        )
    if length is None and b"transfer-encoding" not in removed:
        length = 0
    query = scope["query_string"]
    raw_path = scope["raw_path"]
    return Request(
        scope["method"],
        raw_path + b"?" + query if query else raw_path,
        *destination,
        forwarded,
        length,
        None if timeout_ms is None else timeout_ms / 1000.0,
        identifier,
        1 if attempt is None else attempt,
    )


def _parse_number(text: bytes | None) -> int | None:
    """Parse a whole number; return None for None, -1 if it is invalid."""
    if text is None:
        return None
    if len(text) > 15 or not text.isdigit():
        return -1
    return int(text)


def _is_printable(text: str) -> bool:
    return text.isascii() and (not text or text.isprintable())


def _has_dot_segment(path: str) -> bool:
    # A server that resolves such segments would serve another key than the
    # one that the request was routed by.
    return any(part in (".", "..") for part in path.split("/"))


def _refuse(reason: str) -> outcomes.Refusal:
    return outcomes.Refusal(codes.ResultCode.BAD_REQUEST, reason)
