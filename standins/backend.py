"""Run stand-in backend servers, each on its own port.

Usage: python -m standins.backend --servers FILE

Prints a JSON object with the port of each server by its name once all
servers listen.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import signal
import time
import typing

import uvicorn
from uvicorn.protocols.http import httptools_impl
from uvicorn import server as uvicorn_server
import uvloop

from standins import backend_application
from standins import backend_server
from standins import backend_settings

SAMPLE_INTERVAL_SECONDS = 0.5
"""Interval between the samples that /health and /load report."""


class Listener:
    """Accepts the connections of one server and simulates its crashes."""

    def __init__(
        self, settings: backend_settings.ServerSettings, address: str
    ) -> None:
        self.server = backend_server.BackendServer(settings)
        self.port = settings.port
        self._address = address
        self._socket_server: asyncio.Server | None = None
        self._state = uvicorn_server.ServerState()
        self._restart_task: asyncio.Task[None] | None = None
        self._config = uvicorn.Config(
            backend_application.Application(self.server, self.crash),
            loop="uvloop",
            http="httptools",
            lifespan="off",
            access_log=False,
            proxy_headers=False,
            log_level="critical",
            timeout_keep_alive=75,
        )
        self._config.load()

    async def open(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._socket_server = await loop.create_server(
            self._create_connection, self._address, self.port, backlog=512
        )
        self.port = self._socket_server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._socket_server is not None:
            self._socket_server.close()
        for connection in list(self._state.connections):
            connection.transport.abort()

    def crash(self, seconds: float) -> None:
        """Stop for some seconds, then restart as a new incarnation."""
        self.server.down_until = time.monotonic() + seconds
        self.close()
        if self._restart_task is None:
            self._restart_task = asyncio.create_task(self._restart_later())

    async def _restart_later(self) -> None:
        while (remaining := self.server.down_until - time.monotonic()) > 0:
            await asyncio.sleep(remaining)
        self._restart_task = None
        self.server.restart()
        await self.open()

    def _create_connection(self) -> _Connection:
        return _Connection(
            config=self._config,
            server_state=self._state,
            app_state={},
            backend=self.server,
        )


class _CoalescingTransport:
    """Writes the head and the body of a short response in one call.

    Two calls per response lower the throughput of one process from about
    16,000 to 9,000 requests a second.
    """

    def __init__(self, transport: typing.Any) -> None:
        self._transport = transport
        self._head = b""

    def write(self, data: bytes) -> None:
        if self._head:
            data = self._head + data
            self._head = b""
        elif data.startswith(b"HTTP/1.1 200"):
            self._head = data
            return
        self._transport.write(data)

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)


class _Connection(httptools_impl.HttpToolsProtocol):
    """Connection that counts towards the server's connection limit."""

    def __init__(
        self, backend: backend_server.BackendServer, **arguments: typing.Any
    ) -> None:
        super().__init__(**arguments)
        self._backend = backend

    def connection_made(self, transport: typing.Any) -> None:
        coalescing: typing.Any = _CoalescingTransport(transport)
        super().connection_made(coalescing)
        backend = self._backend
        if len(self.connections) > backend.settings.connections:
            backend.counts["connections_refused"] += 1
            transport.abort()
            return
        if self.client is not None:
            backend.clients.add(self.client)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self.client is not None:
            self._backend.clients.discard(self.client)
            self._backend.ignored_clients.discard(self.client)


async def serve(
    servers: list[backend_settings.ServerSettings], address: str
) -> None:
    """Run the servers until SIGTERM or SIGINT."""
    listeners = [Listener(settings, address) for settings in servers]
    for listener in listeners:
        await listener.open()
    ports = {
        listener.server.settings.name: listener.port for listener in listeners
    }
    print(json.dumps(ports), flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    while not stop.is_set():
        for listener in listeners:
            listener.server.take_sample()
        try:
            await asyncio.wait_for(stop.wait(), SAMPLE_INTERVAL_SECONDS)
        except TimeoutError:
            continue
    for listener in listeners:
        listener.close()


def main() -> None:
    """Parse the arguments and run the servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=pathlib.Path, required=True)
    parser.add_argument("--address", default="127.0.0.1")
    arguments = parser.parse_args()
    servers = backend_settings.load(arguments.servers)
    uvloop.run(serve(servers, arguments.address))


if __name__ == "__main__":
    main()
