"""Answers the calls of other daemons."""

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
        Given to hosts that start while the log is down.
    ownership : runner.Runner
        Takes heartbeats and announcements.
    operations : operations.Operations
        Knows the status of this host.
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
        self._snapshot = ttypes.Snapshot(offset=-1, body=b"")

    def heartbeat(self, heartbeat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        """Answer a host's heartbeat."""
        return self._ownership.on_heartbeat(heartbeat)

    def announce(self, domain: str, term: ttypes.Term, host: str) -> None:
        """Take the word of a new leader."""
        self._ownership.on_announce(domain, term, host)

    def snapshot(self) -> ttypes.Snapshot:
        """Return the state; kept until it changes, since many may ask."""
        if self._snapshot.offset != self._state.offset:
            self._snapshot = ttypes.Snapshot(
                offset=self._state.offset, body=checkpoint.dump(self._state)
            )
        return self._snapshot

    def status(self) -> str:
        """Return the status of this host as JSON."""
        return self._operations.host_status_text()
