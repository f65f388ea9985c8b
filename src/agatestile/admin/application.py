"""HTTP interface for operators, as an ASGI application."""

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

BODY_LIMIT = 8 * 1024 * 1024
OPERATOR_HEADER = b"x-agatestile-operator"
OPERATOR_LIMIT = 64
OFFSET_DIGITS = 18  # fits a signed 64-bit integer

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
_OTHER_REFUSAL = 409

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
    """Answers operators' requests with JSON.

    Parameters
    ----------
    operations : operations.Operations
        Does what is asked.
    """

    def __init__(self, operations: operations.Operations) -> None:
        self._operations = operations

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        answer = await self._answer(scope, receive)
        status = 200
        if isinstance(answer, outcomes.Refusal):
            status = _STATUS_BY_CODE.get(answer.code, _OTHER_REFUSAL)
            answer = {
                "code": int(answer.code),
                "name": answer.code.name,
                "reason": answer.reason,
                "version": self._operations.table()["version"],
            }
        elif hasattr(answer, "_asdict"):
            answer = answer._asdict()
        await _send_json(send, status, answer)

    async def _answer(self, scope: Scope, receive: Receive) -> typing.Any:
        method, raw_path = scope["method"], scope["path"]
        parts = tuple(raw_path.strip("/").split("/"))
        body = await _read_body(receive)
        if isinstance(body, outcomes.Refusal):
            return body
        request = _Request(
            parts,
            dict(
                urllib.parse.parse_qsl(
                    scope["query_string"].decode("ascii", "replace"),
                    keep_blank_values=True,
                )
            ),
            _operator(scope),
            body,
        )
        if method == "GET":
            return await self._get(request)
        if method == "POST":
            LOG.info("admin: %s by %s", raw_path, request.operator)
            return await self._post(request)
        return outcomes.Refusal(
            _Code.METHOD_NOT_ALLOWED, f"{method} is not GET or POST"
        )

    async def _get(self, request: _Request) -> typing.Any:
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

    async def _post(self, request: _Request) -> typing.Any:
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
            _Code.NOT_READY, "the host is leaving or has no state yet"
        )


def _bad_request(request: _Request) -> outcomes.Refusal:
    return outcomes.Refusal(
        _Code.BAD_REQUEST,
        f"no operation /{'/'.join(request.path)[:64]} with "
        f"{', '.join(request.query) or 'no parameters'}",
    )


def _is_offset(text: str) -> bool:
    return text.isdecimal() and len(text) <= OFFSET_DIGITS


def _operator(scope: Scope) -> str:
    for name, value in scope["headers"]:
        if name == OPERATOR_HEADER:
            text: str = value.decode("ascii", "replace")[:OPERATOR_LIMIT]
            return text if text.isprintable() else "unknown"
    return "unknown"


async def _read_body(receive: Receive) -> str | outcomes.Refusal:
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return outcomes.Refusal(
                _Code.BAD_REQUEST, "the body ended before its length"
            )
        part = message.get("body", b"")
        size += len(part)
        if size > BODY_LIMIT:
            return outcomes.Refusal(
                _Code.BODY_TOO_LARGE, f"more than {BODY_LIMIT} bytes"
            )
        parts.append(part)
        if not message.get("more_body", False):
            break
    try:
        return b"".join(parts).decode()
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
