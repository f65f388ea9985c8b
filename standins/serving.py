"""Serves the ASGI applications of the stand-ins with uvicorn."""

from __future__ import annotations

import collections.abc
import contextlib
import socket
import typing

import anyio
import uvicorn
from uvicorn.protocols.http import httptools_impl

Scope = dict[str, typing.Any]
Message = dict[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]
Application = collections.abc.Callable[
    [Scope, Receive, Send], collections.abc.Awaitable[None]
]


class _AbortableProtocol(httptools_impl.HttpToolsProtocol):
    """Lets an application abort the connection without a response."""

    def on_message_begin(self) -> None:
        super().on_message_begin()
        scope = typing.cast(Scope, self.scope)
        scope["extensions"] = {"abort": self.transport.abort}


def configure(application: Application) -> uvicorn.Config:
    """Return the uvicorn configuration of the stand-ins."""
    return uvicorn.Config(
        typing.cast(typing.Any, application),
        http=_AbortableProtocol,
        lifespan="off",
        log_level="warning",
        access_log=False,
        timeout_graceful_shutdown=1,
    )


def run(application: Application, host: str, port: int) -> None:
    """Serve until the process gets a stop signal; port 0 uses a free port."""
    server = uvicorn.Server(configure(application))
    with _listen(host, port) as listener:
        print(listener.getsockname()[1], flush=True)
        server.run(sockets=[listener])


@contextlib.asynccontextmanager
async def running(
    application: Application, port: int = 0
) -> collections.abc.AsyncIterator[int]:
    """Serve on 127.0.0.1 within a block, which gets the port."""
    server = uvicorn.Server(configure(application))
    with _listen("127.0.0.1", port) as listener:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_serve, server, listener)
            while not server.started:
                await anyio.sleep(0.005)
            try:
                yield int(listener.getsockname()[1])
            finally:
                server.should_exit = server.force_exit = True


async def _serve(server: uvicorn.Server, listener: socket.socket) -> None:
    # serve() would replace the signal handlers of the test run.
    await server._serve([listener])


def _listen(host: str, port: int) -> socket.socket:
    # asyncio sets TCP_NODELAY only on sockets with an explicit protocol;
    # without it a delayed acknowledgement adds 40 ms to each response.
    listener = socket.socket(proto=socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    return listener


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request."""
    body = b""
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return body
        body += typing.cast(bytes, message.get("body", b""))
        if not message.get("more_body", False):
            return body


async def send_response(
    send: Send, status: int, body: bytes, content_type: bytes
) -> None:
    """Send a complete response."""
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
