"""HTTP interface of one stand-in backend server, as plain ASGI."""

from __future__ import annotations

import asyncio
import hashlib
import time
import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import MutableMapping

    from standins import backend_server

    Message = MutableMapping[str, typing.Any]
    Scope = MutableMapping[str, typing.Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]
    Headers = dict[bytes, bytes]

PIECE = 65_536
DIGEST_OF_NOTHING = hashlib.blake2b(digest_size=8).hexdigest()

_ENCODE = msgspec.json.Encoder().encode


class Body(typing.NamedTuple):
    """A request body that was read to its end."""

    digest: str
    size: int


class Application:
    """Answers requests of gates, leaders and tests for one server.

    Parameters
    ----------
    server : backend_server.BackendServer
        State of the server.
    fall_over : callable
        Ends all connections and stops listening for a number of seconds.
    """

    def __init__(
        self,
        server: backend_server.BackendServer,
        fall_over: Callable[[float], None],
    ) -> None:
        self._server = server
        self._fall_over = fall_over
        self._own_by_path = {
            "/control": self._control,
            "/state": self._state,
            "/executions": self._executions,
        }
        self._platform_by_path = {
            "/grant": self._grant,
            "/health": self._lagging,
            "/load": self._lagging,
            "/drain": self._drain,
        }

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        own = self._own_by_path.get(scope["path"])
        if own is not None:
            await own(scope, receive, send)
            return
        await self._server.thawed()
        if scope["client"] in self._server.silent_clients:
            await _until_closed(receive)
            return
        handler = self._platform_by_path.get(scope["path"], self._request)
        await handler(scope, receive, send)

    async def _request(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        server = self._server
        headers: Headers = dict(scope["headers"])
        now = time.monotonic()
        deadline = _deadline(headers, now)
        refusal = server.refusal(_text(headers, b"x-fence"), now)
        if refusal is None and deadline <= now:
            refusal = 504, "deadline"
        if refusal is not None:
            await _refuse(send, *refusal, started=False)
            return
        if server.falls_over(now):
            server.counts["fell_over"] += 1
            self._fall_over(server.settings.down_seconds)
            await _until_closed(receive)
            return
        server.enter()
        try:
            await self._run(scope, receive, send, headers, deadline)
        finally:
            server.leave()

    async def _run(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        headers: Headers,
        deadline: float,
    ) -> None:
        server = self._server
        body = await _read_body(receive, headers, deadline)
        if isinstance(body, str):
            server.counts[body] += 1
            if body == "deadline":
                await _refuse(send, 504, body, started=False)
            return
        request_id = _text(headers, b"x-request-id")
        request_id = request_id or _text(headers, b"x-agatestile-request-id")
        server.count_execution(request_id)
        ending = await self._work(receive, deadline)
        if ending:
            server.counts[ending] += 1
            if ending == "deadline":
                await _refuse(send, 504, ending, started=True)
            return
        if scope["client"] in server.silent_clients:
            await _until_closed(receive)
            return
        await self._answer(scope, send, headers, body, request_id)

    async def _work(self, receive: Receive, deadline: float) -> str:
        """Spend the service time; return what ended it early or ""."""
        now = time.monotonic()
        seconds = self._server.work_seconds(now)
        if seconds:
            try:
                async with asyncio.timeout(min(seconds, deadline - now)):
                    await _until_closed(receive)
                return "cancelled"
            except TimeoutError:
                pass
        await self._server.thawed()
        return "deadline" if time.monotonic() >= deadline else ""

    async def _answer(
        self,
        scope: Scope,
        send: Send,
        headers: Headers,
        body: Body,
        request_id: str,
    ) -> None:
        size = int(headers.get(b"x-answer-bytes", b"0"))
        key = _text(headers, b"x-agatestile-key")
        content = _ENCODE(
            {
                "server": self._server.settings.name,
                "key": key
                or scope["path"].partition("/")[2].partition("/")[2],
                "method": scope["method"],
                "digest": body.digest,
                "received": body.size,
                "id": request_id,
                "size": size,
            }
        )
        padding = max(0, size - len(content))
        await _start(
            send,
            200,
            len(content) + padding,
            (b"x-request-id", request_id.encode("latin-1")),
            (b"x-incarnation", self._server.incarnation.encode()),
        )
        if self._server.cuts > 0:
            # Returning before the body is complete closes the connection.
            self._server.cuts -= 1
            await send(_part(content[: len(content) // 2], more=True))
            return
        while padding:
            await send(_part(content, more=True))
            content = b"." * min(PIECE, padding)
            padding -= len(content)
        await send(_part(content, more=False))

    async def _grant(self, scope: Scope, receive: Receive, send: Send) -> None:
        server = self._server
        request = msgspec.json.decode(await _whole_body(receive))
        await server.thawed()
        now = time.monotonic()
        reason = "does not check fences"
        if server.settings.fenced:
            reason = server.grants.offer(request, now)
        server.counts["grants"] += 1
        reply = server.grants.reply(
            reason, now, server.incarnation, server.running
        )
        await _send_json(send, reply)

    async def _lagging(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        await _send_json(send, self._server.lagging())

    async def _drain(self, scope: Scope, receive: Receive, send: Send) -> None:
        self._server.draining = True
        await _send_json(send, {"running": self._server.running})

    async def _state(self, scope: Scope, receive: Receive, send: Send) -> None:
        await _send_json(send, self._server.report())

    async def _executions(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        report = self._server.report()
        report["executions"] = self._server.executions_by_id
        await _send_json(send, report)

    async def _control(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        body = await _whole_body(receive)
        wishes = msgspec.json.decode(body) if body else {}
        self._obey(wishes, scope["client"])
        await _send_json(send, self._server.report())
        if "down_s" in wishes:
            self._fall_over(float(wishes["down_s"]))

    def _obey(
        self, wishes: dict[str, typing.Any], client: tuple[str, int]
    ) -> None:
        server = self._server
        now = time.monotonic()
        if "slow" in wishes:
            server.slow_factor = float(wishes["slow"]["factor"])
            server.slow_until = now + float(wishes["slow"]["seconds"])
        if wishes.get("cold"):
            server.turn_cold()
        if "freeze_s" in wishes:
            server.frozen_until = now + float(wishes["freeze_s"])
        if wishes.get("silent"):
            server.silence(client)
        server.cuts = int(wishes.get("cut", server.cuts))
        if "drain" in wishes:
            server.draining = bool(wishes["drain"])
        if wishes.get("reset"):
            server.reset()


def _text(headers: Headers, name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1")


def _deadline(headers: Headers, now: float) -> float:
    value = headers.get(b"x-deadline-ms")
    return now + float(value) / 1000 if value else float("inf")


async def _read_body(
    receive: Receive, headers: Headers, deadline: float
) -> Body | str:
    """Return the body, or why its reading ended early."""
    if b"content-length" not in headers:
        if b"transfer-encoding" not in headers:
            return Body(DIGEST_OF_NOTHING, 0)
    digest = hashlib.blake2b(digest_size=8)
    size = 0
    left = None
    if deadline != float("inf"):
        left = deadline - time.monotonic()
    try:
        async with asyncio.timeout(left):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    return "broken_upload"
                digest.update(message["body"])
                size += len(message["body"])
                if not message.get("more_body"):
                    return Body(digest.hexdigest(), size)
    except TimeoutError:
        return "deadline"


async def _whole_body(receive: Receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def _until_closed(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _start(
    send: Send, status: int, size: int, *more: tuple[bytes, bytes]
) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", b"application/json"),
                (b"content-length", b"%d" % size),
                *more,
            ],
        }
    )


def _part(content: bytes, *, more: bool) -> Message:
    return {"type": "http.response.body", "body": content, "more_body": more}


async def _send_json(send: Send, value: object) -> None:
    content = _ENCODE(value)
    await _start(send, 200, len(content))
    await send(_part(content, more=False))


async def _refuse(
    send: Send, status: int, reason: str, *, started: bool
) -> None:
    content = _ENCODE({"refused": reason, "started": started})
    await _start(
        send,
        status,
        len(content),
        (b"x-refused", reason.encode()),
        (b"x-started", b"1" if started else b"0"),
    )
    await send(_part(content, more=False))
