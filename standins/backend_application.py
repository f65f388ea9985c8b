"""ASGI application of one stand-in backend server."""

from __future__ import annotations

import asyncio
import time
import typing

import msgspec

from standins import backend_messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from standins import backend_server

PADDING_CHUNK_BYTES = 65_536
"""Size of the body messages that pad a response to its requested size."""


class Application:
    """Serves the requests of gates, leaders and tests to one server.

    Parameters
    ----------
    server : backend_server.BackendServer
        State of the server.
    crash : callable
        Aborts all connections and stops listening for a number of seconds.
    """

    def __init__(
        self,
        server: backend_server.BackendServer,
        crash: Callable[[float], None],
    ) -> None:
        self._server = server
        self._crash = crash
        self._test_handlers_by_path = {
            "/control": self._control,
            "/state": self._state,
            "/executions": self._executions,
        }
        self._platform_handlers_by_path = {
            "/grant": self._grant,
            "/health": self._delayed_report,
            "/load": self._delayed_report,
            "/drain": self._drain,
        }

    async def __call__(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        """Handle one request."""
        test_handler = self._test_handlers_by_path.get(scope["path"])
        if test_handler is not None:
            await test_handler(scope, receive, send)
            return
        await self._server.wait_while_frozen()
        if scope["client"] in self._server.ignored_clients:
            await backend_messages.wait_until_closed(receive)
            return
        handler = self._platform_handlers_by_path.get(
            scope["path"], self._handle_request
        )
        await handler(scope, receive, send)

    async def _handle_request(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        server = self._server
        headers: backend_messages.Headers = dict(scope["headers"])
        now = time.monotonic()
        deadline = backend_messages.parse_deadline(headers, now)
        refusal = server.check_admission(
            backend_messages.header_text(headers, b"x-fence"), now
        )
        if refusal is None and deadline <= now:
            refusal = 504, "deadline"
        if refusal is not None:
            await backend_messages.send_refusal(send, *refusal, started=False)
            return
        if server.exceeds_cold_capacity(now):
            server.counts["fell_over"] += 1
            self._crash(server.settings.down_seconds)
            await backend_messages.wait_until_closed(receive)
            return
        server.acquire_slot()
        try:
            await self._execute(scope, receive, send, headers, deadline)
        finally:
            server.release_slot()

    async def _execute(
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
                await backend_messages.send_refusal(
                    send, 504, body, started=False
                )
            return
        request_id = backend_messages.header_text(headers, b"x-request-id")
        request_id = request_id or backend_messages.header_text(
            headers, b"x-agatestile-request-id"
        )
        server.count_execution(request_id)
        early_end = await self._spend_service_time(receive, deadline)
        if early_end:
            server.counts[early_end] += 1
            if early_end == "deadline":
                await backend_messages.send_refusal(
                    send, 504, early_end, started=True
                )
            return
        if scope["client"] in server.ignored_clients:
            await backend_messages.wait_until_closed(receive)
            return
        await self._respond(scope, send, headers, body, request_id)

    async def _spend_service_time(
        self, receive: backend_messages.Receive, deadline: float
    ) -> str:
        """Wait for the service time; return what ended it early, else ""."""
        now = time.monotonic()
        seconds = self._server.draw_service_time(now)
        if seconds:
            try:
                async with asyncio.timeout(min(seconds, deadline - now)):
                    await backend_messages.wait_until_closed(receive)
                return "cancelled"
            except TimeoutError:
                pass
        await self._server.wait_while_frozen()
        return "deadline" if time.monotonic() >= deadline else ""

    async def _respond(
        self,
        scope: backend_messages.Scope,
        send: backend_messages.Send,
        headers: backend_messages.Headers,
        body: backend_messages.Body,
        request_id: str,
    ) -> None:
        size = int(headers.get(b"x-answer-bytes", b"0"))
        key = backend_messages.header_text(headers, b"x-agatestile-key")
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
        if self._server.truncations_left > 0:
            # Returning before the body is complete closes the connection.
            self._server.truncations_left -= 1
            await send(
                backend_messages.body_message(
                    content[: len(content) // 2], more=True
                )
            )
            return
        while padding:
            await send(backend_messages.body_message(content, more=True))
            content = b"." * min(PADDING_CHUNK_BYTES, padding)
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
        await server.wait_while_frozen()
        now = time.monotonic()
        reason = "does not check fences"
        if server.settings.fenced:
            reason = server.grants.apply(request, now)
        server.counts["grants"] += 1
        reply = server.grants.reply(
            request["domain"],
            reason,
            now,
            server.incarnation,
            server.running,
        )
        await backend_messages.send_json(send, reply)

    async def _delayed_report(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        await backend_messages.send_json(send, self._server.delayed_report())

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
        commands = msgspec.json.decode(body) if body else {}
        self._apply_commands(commands, scope["client"])
        await backend_messages.send_json(send, self._server.report())
        if "down_s" in commands:
            self._crash(float(commands["down_s"]))

    def _apply_commands(
        self, commands: dict[str, typing.Any], client: tuple[str, int]
    ) -> None:
        server = self._server
        now = time.monotonic()
        if "slow" in commands:
            server.slow_factor = float(commands["slow"]["factor"])
            server.slow_until = now + float(commands["slow"]["seconds"])
        if commands.get("cold"):
            server.become_cold()
        if "freeze_s" in commands:
            server.frozen_until = now + float(commands["freeze_s"])
        if commands.get("silent"):
            server.ignore_open_connections(client)
        server.truncations_left = int(
            commands.get("cut", server.truncations_left)
        )
        if "drain" in commands:
            server.draining = bool(commands["drain"])
        if commands.get("reset"):
            server.reset()
