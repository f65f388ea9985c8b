"""HTTP listeners, run by uvicorn on the daemon's event loop."""

from __future__ import annotations

import contextlib
import typing

import anyio
import uvicorn

STARTUP_POLL_SECONDS = 0.01
MAX_BACKLOG_CONNECTIONS = 2048


class _Server(uvicorn.Server):
    """Leaves signals to the daemon, which stops its components in order."""

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        yield


class Listener:
    """Serves one ASGI application on one address.

    Parameters
    ----------
    name : str
        Name of the listener.
    application : callable
        The ASGI application.
    address : str
        ``ip:port`` to listen on.
    http : str or type
        HTTP protocol for uvicorn. Callers' requests need the gateway's
        protocol, which limits the size and duration of request heads.
    """

    def __init__(
        self,
        name: str,
        application: typing.Any,
        address: str,
        http: typing.Any = "httptools",
    ) -> None:
        self.name = name
        host, _, port = address.rpartition(":")
        self._server = _Server(
            uvicorn.Config(
                application,
                host=host,
                port=int(port),
                http=http,
                loop="none",
                lifespan="off",
                interface="asgi3",
                access_log=False,
                server_header=False,
                date_header=False,
                log_config=None,
                backlog=MAX_BACKLOG_CONNECTIONS,
            )
        )

    async def run(self) -> None:
        """Serve until ``stop`` is called and running requests have ended."""
        await self._server.serve()

    async def wait_started(self) -> None:
        """Return once the listener accepts connections."""
        while not self._server.started:
            await anyio.sleep(STARTUP_POLL_SECONDS)

    def stop(self) -> None:
        """Accept no more requests; ``run`` returns once the last one ends."""
        self._server.should_exit = True
