"""Reads the head of a caller's request."""

from __future__ import annotations

import typing

from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi

METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"))
SAFE_METHODS = frozenset(("GET", "HEAD"))
MAX_IDENTIFIER_LENGTH = 128
"""Longest request identifier, characters, since gates keep them."""

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
"""Headers that concern one connection only. The host header is replaced
by the address of the next hop."""

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
"""Headers with a meaning between daemons and servers, which a caller may
not set for them."""

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
        Where the request goes.
    key_header : bytes
        The key's header, empty if the key is in the path.
    headers : list of (bytes, bytes)
        Headers that go to the server.
    content_length : int or None
        Declared length of the body, None if it is not declared.
    timeout : float or None
        Seconds that the caller allows.
    identifier : str
        Identifier that the caller gave, empty without one.
    attempt : int
        Above 1 for a request that the caller marked as repeated.
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
    """Return the request of an ASGI scope.

    Returns
    -------
    Request or Refusal
        ``METHOD_NOT_ALLOWED``, ``MISSING_KEY`` or ``BAD_REQUEST``.
    """
    method = scope["method"]
    if method not in METHODS:
        return outcomes.Refusal(
            codes.ResultCode.METHOD_NOT_ALLOWED,
            f"method {method[:16]!r} is not served",
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
            "the path is /service/key, or /service with x-agatestile-key",
        )
    if "/." in path and _has_dot_segment(path):
        return _refuse("the path has a segment . or ..")
    return _from_headers(scope, forwarded, removed, (service, key, key_header))


def split_headers(
    headers: asgi.Headers,
) -> tuple[asgi.Headers, dict[bytes, bytes]]:
    """Return the headers that pass on, and the others by name."""
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
    """Remove the headers that a connection header names."""
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
        return _refuse("a header that takes a whole number has another value")
    identifier = removed.get(b"x-agatestile-request-id", b"").decode("latin-1")
    if len(identifier) > MAX_IDENTIFIER_LENGTH or not _is_printable(
        identifier
    ):
        return _refuse("the request identifier is too long or not printable")
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
    """Return a whole number, None without a text, -1 if it is none."""
    if text is None:
        return None
    if len(text) > 15 or not text.isdigit():
        return -1
    return int(text)


def _is_printable(text: str) -> bool:
    return text.isascii() and (not text or text.isprintable())


def _has_dot_segment(path: str) -> bool:
    # A server that resolves such segments would serve another key than
    # the one that was routed.
    return any(part in (".", "..") for part in path.split("/"))


def _refuse(reason: str) -> outcomes.Refusal:
    return outcomes.Refusal(codes.ResultCode.BAD_REQUEST, reason)
