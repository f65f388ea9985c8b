"""Stand-in for the agatestile command that answers requests itself.

Usage: python fake_agatestile.py (serve --config FILE | table apply ...)

It makes the demo testable without daemons. With FAKE_FAULT=crossed, each
request gets the response to the previous one.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import typing

import uvicorn
import yaml

from standins import backend_application
from standins import backend_server
from standins import backend_settings

HEADERS = [
    (b"x-agatestile-code", b"0"),
    (b"x-agatestile-run", b"run"),
    (b"x-agatestile-owner", b"fake"),
]


class CallerApplication:
    """Application that answers callers as a backend server does."""

    def __init__(self) -> None:
        settings = backend_settings.ServerSettings(
            "fake", "any", "any", slots=10_000, fenced=False
        )
        self._server = backend_application.Application(
            backend_server.BackendServer(settings), lambda seconds: None
        )
        self._is_crossed = os.environ.get("FAKE_FAULT") == "crossed"
        self._previous_path = "/any/none"

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        async def send_with_headers(message: typing.Any) -> None:
            if message["type"] == "http.response.start":
                message["headers"] += HEADERS
            await send(message)

        if self._is_crossed:
            scope["path"], self._previous_path = (
                self._previous_path,
                scope["path"],
            )
        await self._server(scope, receive, send_with_headers)


async def answer_operators(
    scope: typing.Any, receive: typing.Any, send: typing.Any
) -> None:
    """Respond to /ready and /status."""
    body = json.dumps({"invariant_violations": {}}).encode()
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", b"%d" % len(body))],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def _serve(path: str) -> None:
    with open(path, encoding="utf-8") as stream:
        listen = yaml.safe_load(stream)["listen"]
    servers = []
    for application, name in (
        (CallerApplication(), "callers"),
        (answer_operators, "admin"),
    ):
        host, _, port = listen[name].rpartition(":")
        config = uvicorn.Config(
            application,
            host=host,
            port=int(port),
            lifespan="off",
            log_level="warning",
        )
        servers.append(uvicorn.Server(config))
    # Uvicorn raises the signal that stopped it once more, which would end
    # the process by the signal; this handler replaces its own.
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(server.serve()) for server in servers]
    await asyncio.sleep(0.1)
    loop.add_signal_handler(signal.SIGTERM, os._exit, 0)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    if sys.argv[1] == "serve":
        asyncio.run(_serve(sys.argv[-1]))
