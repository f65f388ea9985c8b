"""Handles calls from other daemons."""

from __future__ import annotations

import typing

from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import checkpoint

if typing.TYPE_CHECKING:
    from agatestile.admin import operations
    from agatestile.ownership import runner
    from agatestile.state import cluster


class Handler:
    """Implements the Peer service.

    Parameters
    ----------
    state : cluster.ClusterState
        Sent to hosts that start while the log is down.
    ownership : runner.Runner
        Handles heartbeats and announcements of leaders.
    operations : operations.Operations
        Provides the status of this host.
    """

    def __init__(
        self,
        state: cluster.ClusterState,
        ownership: runner.Runner,
        operations: operations.Operations,
    ) -> None:
        self._state = state
        self._ownership = ownership
        self._operations = operations
        self._cached_snapshot = ttypes.Snapshot(offset=-1, body=b"")

    def heartbeat(self, heartbeat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        """Answer the heartbeat of another host."""
        return self._ownership.on_heartbeat(heartbeat)

    def announce(self, domain: str, term: ttypes.Term, host: str) -> None:
        """Record the announcement of a new leader."""
        self._ownership.on_announce(domain, term, host)

    def snapshot(self) -> ttypes.Snapshot:
        """Return the state, cached until it changes as many hosts may ask."""
        if self._cached_snapshot.offset != self._state.offset:
            self._cached_snapshot = ttypes.Snapshot(
                offset=self._state.offset, body=checkpoint.dump(self._state)
            )
        return self._cached_snapshot

    def status(self) -> str:
        """Return the status of this host as JSON."""
        return self._operations.host_status_text()
