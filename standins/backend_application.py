"""HTTP interface of one stand-in backend server, as plain ASGI."""

from __future__ import annotations

import asyncio
import time
import typing

import msgspec

from standins import backend_messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from standins import backend_server

PIECE = 65_536


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
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        """Answer one request."""
        own = self._own_by_path.get(scope["path"])
        if own is not None:
            await own(scope, receive, send)
            return
        await self._server.thawed()
        if scope["client"] in self._server.silent_clients:
            await backend_messages.until_closed(receive)
            return
        handler = self._platform_by_path.get(scope["path"], self._request)
        await handler(scope, receive, send)

    async def _request(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        server = self._server
        headers: backend_messages.Headers = dict(scope["headers"])
        now = time.monotonic()
        deadline = backend_messages.deadline(headers, now)
        refusal = server.refusal(
            backend_messages.text(headers, b"x-fence"), now
        )
        if refusal is None and deadline <= now:
            refusal = 504, "deadline"
        if refusal is not None:
            await backend_messages.refuse(send, *refusal, started=False)
            return
        if server.falls_over(now):
            server.counts["fell_over"] += 1
            self._fall_over(server.settings.down_seconds)
            await backend_messages.until_closed(receive)
            return
        server.enter()
        try:
            await self._run(scope, receive, send, headers, deadline)
        finally:
            server.leave()

    async def _run(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
        headers: backend_messages.Headers,
        deadline: float,
    ) -> None:
        server = self._server
        body = await backend_messages.read_body(receive, headers, deadline)
        if isinstance(body, str):
            server.counts[body] += 1
            if body == "deadline":
                await backend_messages.refuse(send, 504, body, started=False)
            return
        request_id = backend_messages.text(headers, b"x-request-id")
        request_id = request_id or backend_messages.text(
            headers, b"x-agatestile-request-id"
        )
        server.count_execution(request_id)
        ending = await self._work(receive, deadline)
        if ending:
            server.counts[ending] += 1
            if ending == "deadline":
                await backend_messages.refuse(send, 504, ending, started=True)
            return
        if scope["client"] in server.silent_clients:
            await backend_messages.until_closed(receive)
            return
        await self._answer(scope, send, headers, body, request_id)

    async def _work(
        self, receive: backend_messages.Receive, deadline: float
    ) -> str:
        """Spend the service time; return what ended it early or ""."""
        now = time.monotonic()
        seconds = self._server.work_seconds(now)
        if seconds:
            try:
                async with asyncio.timeout(min(seconds, deadline - now)):
                    await backend_messages.until_closed(receive)
                return "cancelled"
            except TimeoutError:
                pass
        await self._server.thawed()
        return "deadline" if time.monotonic() >= deadline else ""

    async def _answer(
        self,
        scope: backend_messages.Scope,
        send: backend_messages.Send,
        headers: backend_messages.Headers,
        body: backend_messages.Body,
        request_id: str,
    ) -> None:
        size = int(headers.get(b"x-answer-bytes", b"0"))
        key = backend_messages.text(headers, b"x-agatestile-key")
        content = backend_messages.encode(
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
        await backend_messages.send_head(
            send,
            200,
            len(content) + padding,
            (b"x-request-id", request_id.encode("latin-1")),
            (b"x-incarnation", self._server.incarnation.encode()),
        )
        if self._server.cuts > 0:
            # Returning before the body is complete closes the connection.
            self._server.cuts -= 1
            await send(
                backend_messages.body_message(
                    content[: len(content) // 2], more=True
                )
            )
            return
        while padding:
            await send(backend_messages.body_message(content, more=True))
            content = b"." * min(PIECE, padding)
            padding -= len(content)
        await send(backend_messages.body_message(content, more=False))

    async def _grant(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        server = self._server
        request = msgspec.json.decode(
            await backend_messages.read_whole_body(receive)
        )
        await server.thawed()
        now = time.monotonic()
        reason = "does not check fences"
        if server.settings.fenced:
            reason = server.grants.offer(request, now)
        server.counts["grants"] += 1
        reply = server.grants.reply(
            request["domain"],
            reason,
            now,
            server.incarnation,
            server.running,
        )
        await backend_messages.send_json(send, reply)

    async def _lagging(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        await backend_messages.send_json(send, self._server.lagging())

    async def _drain(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        self._server.draining = True
        await backend_messages.send_json(
            send, {"running": self._server.running}
        )

    async def _state(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        await backend_messages.send_json(send, self._server.report())

    async def _executions(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        report = self._server.report()
        report["executions"] = self._server.executions_by_id
        await backend_messages.send_json(send, report)

    async def _control(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        body = await backend_messages.read_whole_body(receive)
        wishes = msgspec.json.decode(body) if body else {}
        self._obey(wishes, scope["client"])
        await backend_messages.send_json(send, self._server.report())
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
