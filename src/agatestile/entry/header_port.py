"""What the headers of requests and answers say, in the program's words."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from agatestile.balancing import load
    from agatestile.transport import messages


class CallerHeaders(typing.NamedTuple):
    """What a caller says of its request.

    Attributes
    ----------
    request_id : bytes
        Identifier of this attempt of the caller.
    time_left : float or None
        How long the caller waits, seconds.
    key : int or None
        Key, for services divided by key.
    """

    request_id: bytes
    time_left: float | None
    key: int | None


class ServerHeaders(typing.NamedTuple):
    """What a server says with an answer.

    Attributes
    ----------
    did_not_run : bool
        Whether it did not run the request.
    is_misdirected : bool
        Whether the request was meant for another server or owner.
    has_signature : bool
        Whether the answer is the server's own.
    report : load.LoadReport or None
        Its load.
    """

    did_not_run: bool
    is_misdirected: bool
    has_signature: bool
    report: load.LoadReport | None


class HeaderFormat(typing.Protocol):
    """Names and formats of headers."""

    echo_header: bytes

    def read_request(self, headers: messages.Headers) -> CallerHeaders:
        """Return what a caller's headers say."""

    def server_headers(
        self, server_id: str, time_left: float
    ) -> messages.Headers:
        """Return the headers that go to a server beside the caller's."""

    def is_replaced(self, name: bytes) -> bool:
        """Tell whether a caller's header is replaced on the way."""

    def read_response(self, answer: messages.Response) -> ServerHeaders:
        """Return what a server's headers say."""

    def refusal_headers(self, retry_after: float | None) -> messages.Headers:
        """Return the headers of an answer of this host's own."""
