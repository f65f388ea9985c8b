"""Listener that serves an ASGI application with uvicorn."""

from __future__ import annotations

import contextlib
import socket
import typing

import anyio
import anyio.abc
import uvicorn

from agatestile.gateway import protocol

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.gateway import asgi
    from agatestile.gateway import options as gateway_options

    Application = collections.abc.Callable[
        [asgi.Scope, asgi.Receive, asgi.Send],
        collections.abc.Awaitable[None],
    ]

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""

KEEP_ALIVE_SECONDS = 60
"""Longer than other daemons keep an idle connection, so that a connection is
rarely closed here while its peer sends a request."""


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        """Leave signals to the daemon, which runs several listeners."""
        yield


class Listener:
    """Serves an application on one address.

    Parameters
    ----------
    application : callable
        ASGI application.
    address : str
        IP address and port; port 0 selects a free port.
    options : options.Options
        Limits on requests from the settings.

    Attributes
    ----------
    address : str
        Address with the port that is in use.
    """

    def __init__(
        self,
        application: Application,
        address: str,
        options: gateway_options.Options,
    ) -> None:
        self._socket = _bind(address)
        host, port = self._socket.getsockname()[:2]
        self.address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self._server = _Server(
            uvicorn.Config(
                application,
                interface="asgi3",
                http=protocol.with_options(options),
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                proxy_headers=False,
                server_header=False,
                date_header=False,
                backlog=BACKLOG,
                timeout_keep_alive=KEEP_ALIVE_SECONDS,
            )
        )

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stop` is called and all requests are finished."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._report_start, task_status)
            await self._server.serve(sockets=[self._socket])
            group.cancel_scope.cancel()

    def stop(self) -> None:
        """Stop accepting connections; running requests are finished."""
        self._server.should_exit = True

    async def _report_start(
        self, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        while not self._server.started:
            await anyio.sleep(0.01)
        task_status.started()


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock
