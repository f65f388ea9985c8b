"""ASGI application of the admin interface."""

from __future__ import annotations

import logging
import typing
import urllib.parse

import msgspec

from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.admin import operations

LOG = logging.getLogger(__name__)

MAX_BODY_BYTES = 8 * 1024 * 1024
OPERATOR_HEADER = b"x-agatestile-operator"
MAX_OPERATOR_CHARACTERS = 64
MAX_OFFSET_DIGITS = 18  # fits a signed 64-bit integer

_Code = codes.ResultCode
_STATUS_BY_CODE = {
    _Code.BAD_REQUEST: 400,
    _Code.METHOD_NOT_ALLOWED: 405,
    _Code.BODY_TOO_LARGE: 413,
    _Code.TABLE_INVALID: 400,
    _Code.NAME_UNKNOWN: 404,
    _Code.UNKNOWN_SERVICE: 404,
    _Code.LOG_UNAVAILABLE: 503,
    _Code.NOT_READY: 503,
    _Code.LOG_OUTCOME_UNKNOWN: 504,
}
_DEFAULT_REFUSAL_STATUS = 409

Scope = typing.MutableMapping[str, typing.Any]
Message = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Message]]
Send = typing.Callable[[Message], typing.Awaitable[None]]


class _Request(typing.NamedTuple):
    path: tuple[str, ...]
    query: dict[str, str]
    operator: str
    body: str


class Application:
    """Answers the HTTP requests of operators with JSON.

    Parameters
    ----------
    operations : operations.Operations
        Carries out the requests.
    """

    def __init__(self, operations: operations.Operations) -> None:
        self._operations = operations

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request; scopes other than HTTP are ignored."""
        if scope["type"] != "http":
            return
        answer = await self._handle(scope, receive)
        status = 200
        if isinstance(answer, outcomes.Refusal):
            status = _STATUS_BY_CODE.get(answer.code, _DEFAULT_REFUSAL_STATUS)
            answer = {
                "code": int(answer.code),
                "name": answer.code.name,
                "reason": answer.reason,
                "version": self._operations.table()["version"],
            }
        elif hasattr(answer, "_asdict"):
            answer = answer._asdict()
        await _send_json(send, status, answer)

    async def _handle(self, scope: Scope, receive: Receive) -> typing.Any:
        method, raw_path = scope["method"], scope["path"]
        segments = tuple(raw_path.strip("/").split("/"))
        body = await _read_body(receive)
        if isinstance(body, outcomes.Refusal):
            return body
        request = _Request(
            segments,
            dict(
                urllib.parse.parse_qsl(
                    scope["query_string"].decode("ascii", "replace"),
                    keep_blank_values=True,
                )
            ),
            _read_operator(scope),
            body,
        )
        if method == "GET":
            return await self._handle_get(request)
        if method == "POST":
            LOG.info("admin: %s by %s", raw_path, request.operator)
            return await self._handle_post(request)
        return outcomes.Refusal(
            _Code.METHOD_NOT_ALLOWED, f"{method} is not GET or POST"
        )

    async def _handle_get(self, request: _Request) -> typing.Any:
        query = request.query
        match request.path:
            case ("ready",):
                return self._ready()
            case ("status",) if query.get("scope") == "host":
                return self._operations.host_status()
            case ("status",):
                return await self._operations.status()
            case ("table",):
                return self._operations.table()
            case ("explain",) if "service" in query and "key" in query:
                return self._operations.explain(query["service"], query["key"])
            case ("confirmations",) if _is_offset(query.get("offset", "")):
                return await self._operations.confirmations(
                    int(query["offset"])
                )
        return _bad_request(request)

    async def _handle_post(self, request: _Request) -> typing.Any:
        query = request.query
        match request.path:
            case ("table",) if "base" in query:
                return await self._operations.apply_table(
                    request.body, query["base"], request.operator
                )
            case ("domains", name) if query.get("state") in ("in", "out"):
                return await self._operations.set_domain(
                    name, query["state"], request.operator
                )
            case ("hosts", name) if query.get("state") in (
                "active",
                "leaving",
            ):
                return await self._operations.set_host(
                    name, query["state"], request.operator
                )
        return _bad_request(request)

    def _ready(self) -> dict[str, bool] | outcomes.Refusal:
        if self._operations.ready():
            return {"ready": True}
        return outcomes.Refusal(
            _Code.NOT_READY, "the host is leaving or has not read a state yet"
        )


def _bad_request(request: _Request) -> outcomes.Refusal:
    return outcomes.Refusal(
        _Code.BAD_REQUEST,
        f"no operation /{'/'.join(request.path)[:64]} takes these "
        f"query parameters: {', '.join(request.query) or 'none'}",
    )


def _is_offset(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_OFFSET_DIGITS


def _read_operator(scope: Scope) -> str:
    for name, value in scope["headers"]:
        if name == OPERATOR_HEADER:
            text: str = value.decode("ascii", "replace")[
                :MAX_OPERATOR_CHARACTERS
            ]
            return text if text.isprintable() else "unknown"
    return "unknown"


async def _read_body(receive: Receive) -> str | outcomes.Refusal:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return outcomes.Refusal(
                _Code.BAD_REQUEST,
                "the client disconnected before the end of the body",
            )
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            return outcomes.Refusal(
                _Code.BODY_TOO_LARGE,
                f"the body exceeds {MAX_BODY_BYTES} bytes",
            )
        chunks.append(chunk)
        if not message.get("more_body", False):
            break
    try:
        return b"".join(chunks).decode()
    except UnicodeDecodeError:
        return outcomes.Refusal(_Code.BAD_REQUEST, "the body is not UTF-8")


async def _send_json(send: Send, status: int, content: typing.Any) -> None:
    body = msgspec.json.encode(content)
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})
