"""Baseline that forwards by uniform hashing, without limits or retries.

Usage: python -m bench.forwarder --port PORT --servers FILE

It has no queue. The servers must accept requests without a fence.
"""

from __future__ import annotations

import argparse
import pathlib
import typing

import uvicorn
import uvloop
import xxhash

from bench import http_client
from standins import backend_messages
from standins import backend_settings

# The forwarder has no time limit of its own; this only bounds a trial.
TRIAL_TIMEOUT_SECONDS = 60.0
CODE_ANSWERED = "0"
CODE_SHED = "208"
CODE_CONNECT_FAILED = "209"
CODE_UNKNOWN = "300"


def owner_of(
    service: str, key: str, servers: list[backend_settings.ServerSettings]
) -> backend_settings.ServerSettings:
    """Return the server of a key by uniform hashing."""
    chosen = [server for server in servers if server.service == service]
    digest = xxhash.xxh64_intdigest(key.encode("utf-8"))
    return chosen[digest % len(chosen)]


class Forwarder:
    """Application that forwards each request to the owner of its key."""

    def __init__(self, servers: list[backend_settings.ServerSettings]) -> None:
        self._servers = servers
        self._client = http_client.Client()

    async def __call__(
        self,
        scope: backend_messages.Scope,
        receive: backend_messages.Receive,
        send: backend_messages.Send,
    ) -> None:
        """Forward one request."""
        if scope["path"] == "/ready":
            await backend_messages.send_json(send, {})
            return
        service, _, key = scope["path"][1:].partition("/")
        owner = owner_of(service, key, self._servers)
        headers = {
            name.decode(): value.decode("latin-1")
            for name, value in scope["headers"]
            if name not in (b"host", b"content-length")
        }
        result = await self._client.request(
            f"127.0.0.1:{owner.port}",
            scope["method"],
            scope["path"],
            headers,
            await backend_messages.read_whole_body(receive),
            TRIAL_TIMEOUT_SECONDS,
        )
        status, body = 502, b""
        code = CODE_UNKNOWN
        if isinstance(result, http_client.Response):
            status, body = result.status, result.body
            code = CODE_ANSWERED if status == 200 else CODE_SHED
        elif result.kind == "connect":
            code = CODE_CONNECT_FAILED
        extra_headers = [
            (b"x-agatestile-code", code.encode()),
            (b"x-agatestile-owner", owner.name.encode()),
        ]
        await backend_messages.send_head(
            send, status, len(body), *extra_headers
        )
        await send(backend_messages.body_message(body, more=False))


def main() -> None:
    """Serve until the process receives a signal to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--servers", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    application: typing.Any = Forwarder(
        backend_settings.load(arguments.servers)
    )
    server = uvicorn.Server(
        uvicorn.Config(
            application,
            host="127.0.0.1",
            port=arguments.port,
            http="httptools",
            lifespan="off",
            access_log=False,
            log_level="warning",
            timeout_graceful_shutdown=1,
        )
    )
    uvloop.run(server.serve())


if __name__ == "__main__":
    main()
