"""Requests that offer another protocol, which this program never accepts.

The parser ends with the head of such a request and treats its body as the
other protocol. A new parser that reads the head without the offer continues.
"""

from __future__ import annotations

from agatestile.transport import messages

_FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
_KEPT_OPTIONS = (b"close", b"keep-alive")


def head_without_offer(
    version: str, method: bytes, headers: messages.Headers
) -> bytes:
    """Return the head that frames the body of a request that has an offer.

    Parameters
    ----------
    version : str
        Version of HTTP, as in 1.1.
    method : bytes
        Method of the request.
    headers : messages.Headers
        Its headers, of which those that frame the body are used.
    """
    kept = [pair for pair in headers if pair[0] in _FRAMING_HEADERS]
    kept += [
        (b"connection", option)
        for name, value in headers
        if name == b"connection"
        for option in (part.strip().lower() for part in value.split(b","))
        if option in _KEPT_OPTIONS
    ]
    start = b"%b / HTTP/%b" % (method, version.encode())
    return messages.encode_head(start, kept)
