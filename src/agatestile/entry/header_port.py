"""Parsed headers of requests and responses, and the port to their format."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from agatestile.balancing import load
    from agatestile.transport import messages


class CallerHeaders(typing.NamedTuple):
    """Parsed headers of a caller's request.

    Attributes
    ----------
    request_id : bytes
        Identifier of this attempt of the caller.
    time_left : float or None
        How long the caller waits for a response, seconds.
    key : int or None
        Key, for services divided by key.
    api_keys : tuple of bytes
        All API keys of the request. They appear in no log line.
    """

    request_id: bytes
    time_left: float | None
    key: int | None
    api_keys: tuple[bytes, ...] = ()


class ServerHeaders(typing.NamedTuple):
    """Parsed headers of a server's response.

    Attributes
    ----------
    did_not_run : bool
        Whether the server did not run the request.
    is_misdirected : bool
        Whether the request was meant for another server or owner.
    has_signature : bool
        Whether the response is signed, so that it comes from the server.
    report : load.LoadReport or None
        Load that the server reports.
    is_leaving : bool
        Whether the server says that it is about to leave.
    pause : float or None
        Time for which the server wants no requests, seconds.
    rate_limit : float or None
        Requests per second that the server takes from all hosts together,
        None if it names no limit.
    server_id : str or None
        Server that answers a probe, None if the response does not say.
    warmup_left : float or None
        Time for which the server stays cold, seconds, None if the response
        does not say.
    """

    did_not_run: bool
    is_misdirected: bool
    has_signature: bool
    report: load.LoadReport | None
    is_leaving: bool = False
    pause: float | None = None
    rate_limit: float | None = None
    server_id: str | None = None
    warmup_left: float | None = None


class HeaderFormat(typing.Protocol):
    """Names and formats of headers.

    Attributes
    ----------
    echo_header : bytes
        Header that a server repeats in its response.
    """

    echo_header: bytes

    def read_request(self, headers: messages.Headers) -> CallerHeaders:
        """Parse the headers of a caller's request."""

    def server_headers(
        self, server_id: str, time_left: float
    ) -> messages.Headers:
        """Return the headers that are added to a request to a server."""

    def is_replaced(self, name: bytes) -> bool:
        """Return whether this host replaces a header of the caller."""

    def is_identity(self, name: bytes) -> bool:
        """Return whether a header carries an API key or names a tenant."""

    def tenant_headers(self, name: str) -> messages.Headers:
        """Return the headers that name the tenant to a server."""

    def read_response(self, answer: messages.Response) -> ServerHeaders:
        """Parse the headers of a server's response."""

    def refusal_headers(self, retry_after: float | None) -> messages.Headers:
        """Return the headers of a response that this host generates."""
