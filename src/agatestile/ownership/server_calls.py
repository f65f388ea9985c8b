"""Grants and probes to the servers of one failure domain."""

from __future__ import annotations

import typing

import anyio

from agatestile.ownership import grants
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.ownership import leases
    from agatestile.ownership import ports
    from agatestile.state import cluster
    from agatestile.state import records

Receive = typing.Callable[
    [str, "leases.Exchange", grants.GrantReply, float], None
]


class ServerCalls:
    """Sends at most one grant or probe to a server at a time.

    Parameters
    ----------
    servers : ports.Servers
        Calls to backend servers.
    state : cluster.ClusterState
        This host's copy of the state.
    """

    def __init__(
        self, servers: ports.Servers, state: cluster.ClusterState
    ) -> None:
        self._servers = servers
        self._state = state
        self._busy_servers: set[str] = set()

    def rows(self, domain: str) -> list[records.TableRow]:
        """Return the table rows of the servers in a domain."""
        return [
            row
            for row in self._state.table.servers_by_name.values()
            if row.domain == domain
        ]

    def is_busy(self, server: str) -> bool:
        """Return whether a call to a server is in progress."""
        return server in self._busy_servers

    async def grant(
        self,
        row: records.TableRow,
        prepared: tuple[grants.GrantRequest, leases.Exchange],
        receive: Receive,
    ) -> None:
        """Send a grant and pass the reply, if one arrives, to `receive`."""
        if row.server in self._busy_servers:
            return
        request, exchange = prepared
        self._busy_servers.add(row.server)
        try:
            reply = await self._servers.grant(row, request)
        finally:
            self._busy_servers.discard(row.server)
        if not isinstance(reply, outcomes.Refusal):
            receive(row.server, exchange, reply, anyio.current_time())

    async def probe(
        self,
        row: records.TableRow,
        receive: typing.Callable[[str, float], None],
    ) -> None:
        """Probe a server and call `receive` if it answers."""
        if row.server in self._busy_servers:
            return
        self._busy_servers.add(row.server)
        try:
            answers = await self._servers.probe(row)
        finally:
            self._busy_servers.discard(row.server)
        if answers:
            receive(row.server, anyio.current_time())
