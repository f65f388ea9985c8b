"""Platform headers of requests and responses."""

from __future__ import annotations

import typing

from agatestile.balancing import load
from agatestile.entry import header_port
from agatestile.platform import records

if typing.TYPE_CHECKING:
    from agatestile.transport import messages

REQUEST_ID = b"x-request-id"

_DEADLINE = b"x-deadline-ms"
_INSTANCE = b"x-target-instance"
_SHARD_KEY = b"x-shard-key"
_API_KEY = b"x-api-key"
_TENANT = b"x-tenant-id"
_SIGNATURE = b"x-upstream-signature"
_LOAD = b"x-upstream-load"
_NOT_EXECUTED = b"x-not-executed"
_LEAVING = b"server-leaving"
# Requests per second, of all hosts together.
_RATE_LIMIT = b"server-limit"
_ANSWERING_INSTANCE = b"x-upstream-instance"
_RETRY_AFTER = b"retry-after"
_WARMUP = b"x-warmup-ms"

_KEY_COUNT = 65536
_KEY_DIGITS = 5
_MISDIRECTED_STATUS = 421


class PlatformHeaders:
    """Reads and writes the platform's headers."""

    echo_header = REQUEST_ID

    def read_request(
        self, headers: messages.Headers
    ) -> header_port.CallerHeaders:
        """Extract the request identifier, the time left and the keys."""
        request_id = b""
        deadline = None
        key = None
        api_keys: tuple[bytes, ...] = ()
        for name, value in headers:
            if name == REQUEST_ID:
                request_id = value
            elif name == _DEADLINE:
                deadline = _parse_number(value)
            elif name == _SHARD_KEY:
                key = _parse_key(value)
            elif name == _API_KEY:
                api_keys = (*api_keys, value)
        return header_port.CallerHeaders(
            request_id,
            None if deadline is None else deadline / 1000.0,
            key,
            api_keys,
        )

    def server_headers(
        self, server_id: str, time_left: float
    ) -> messages.Headers:
        """Return the headers to add to a request to a server."""
        return [
            (_DEADLINE, b"%d" % max(1, int(time_left * 1000))),
            (_INSTANCE, server_id.encode()),
        ]

    def is_replaced(self, name: bytes) -> bool:
        """Return whether a caller's header is replaced before forwarding."""
        return name in (_DEADLINE, _INSTANCE)

    def is_identity(self, name: bytes) -> bool:
        """Return whether a header carries an API key or names a tenant."""
        return name in (_API_KEY, _TENANT)

    def tenant_headers(self, name: str) -> messages.Headers:
        """Return the headers that name the tenant to a server."""
        return [(_TENANT, name.encode())]

    def read_response(
        self, response: messages.Response
    ) -> header_port.ServerHeaders:
        """Extract the result, the signature and the load of the server."""
        report = None
        has_signature = False
        is_leaving = False
        pause = None
        rate_limit = None
        server_id = None
        warmup = None
        did_not_run = response.status == _MISDIRECTED_STATUS
        for name, value in response.headers:
            if name == _LOAD:
                report = _parse_load(value)
            elif name == _SIGNATURE:
                has_signature = True
            elif name == _NOT_EXECUTED:
                did_not_run = True
            elif name == _LEAVING:
                is_leaving = value == b"1"
            elif name == _RETRY_AFTER and response.status == 503:
                pause = _parse_number(value)
            elif name == _RATE_LIMIT:
                rate_limit = _parse_number(value)
            elif name == _ANSWERING_INSTANCE:
                server_id = value.decode("latin-1")
            elif name == _WARMUP:
                warmup = _parse_warmup(value)
        return header_port.ServerHeaders(
            did_not_run,
            response.status == _MISDIRECTED_STATUS,
            has_signature,
            report,
            is_leaving,
            pause,
            rate_limit,
            server_id,
            warmup,
        )

    def refusal_headers(self, retry_after: float | None) -> messages.Headers:
        """Return the headers of a response that this host generates."""
        if retry_after is None:
            return []
        return [(_RETRY_AFTER, b"%.3f" % retry_after)]


def _parse_key(value: bytes) -> int | None:
    if not value.isdigit() or len(value) > _KEY_DIGITS:
        return None
    key = int(value)
    return key if key < _KEY_COUNT else None


def _parse_number(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e9 else None


def _parse_warmup(value: bytes) -> float | None:
    """Parse how long a server stays cold, seconds."""
    milliseconds = _parse_number(value)
    if milliseconds is None or milliseconds > records.MAX_WARMUP_MS:
        return None
    return milliseconds / 1000.0


def _parse_load(value: bytes) -> load.LoadReport | None:
    """Parse running, waiting, slots and an optional slowdown in percent."""
    figures = [_parse_number(part) for part in value.split(b",")]
    if len(figures) < 3 or None in figures:
        return None
    running, waiting, slots, *rest = (figure or 0.0 for figure in figures)
    slowdown = rest[0] / 100.0 if rest else 1.0
    return load.LoadReport(int(running), int(waiting), int(slots), slowdown)
