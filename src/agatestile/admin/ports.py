"""Interfaces of other packages that the admin operations use."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.results import outcomes
    from agatestile.state import records


class Gate(typing.Protocol):
    """Gate of a backend server."""

    @property
    def host(self) -> str:
        """Name of the host that is the gate."""

    @property
    def forward_address(self) -> str:
        """IP address and port that take requests forwarded by other hosts."""


class Step(typing.Protocol):
    """Replacement of a lost owner, not yet recorded in the log."""

    @property
    def version(self) -> int:
        """Version of the assignment that the step is based on."""

    @property
    def step(self) -> int:
        """Number of replacements since that assignment."""

    @property
    def server(self) -> str:
        """Name of the server that now owns the range."""


class Views(typing.Protocol):
    """Route views that leaders announced (`routing.views.RouteViews`)."""

    def last_update_of(self, domain: str) -> tuple[records.Term, int] | None:
        """Return term and sequence number of a domain's last view."""

    def gate_of(self, server: str) -> Gate | None:
        """Return the gate of a server."""

    def step_of(self, service: str, position: int) -> Step | None:
        """Return the step that covers a position."""


class Follower(typing.Protocol):
    """Follows the log (`log.follower.Follower`)."""

    @property
    def ready(self) -> bool:
        """Whether the state has been read since the daemon started."""

    @property
    def last_read(self) -> float:
        """Clock time at which the last read of the log began, seconds."""


class Appender(typing.Protocol):
    """Appends to the log (`log.appender.Appender`)."""

    async def append(self, record: records.Record) -> int | outcomes.Refusal:
        """Append a record and return the offset at which it was applied."""


class Peers(typing.Protocol):
    """Status of the other hosts (`admin.peers.PeerStatuses`)."""

    def hosts(self) -> collections.abc.Collection[str]:
        """Return the names of the hosts in the membership list."""

    async def statuses(
        self,
    ) -> dict[str, dict[str, typing.Any] | outcomes.Refusal]:
        """Return each other host's status, or why it could not be read."""


Reports = typing.Mapping[str, typing.Callable[[], typing.Any]]
"""Functions by section name, each returning that section as plain data."""
