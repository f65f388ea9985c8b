"""What the operators' interface needs of other packages."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.results import outcomes
    from agatestile.state import records


class Gate(typing.Protocol):
    """Host that is the gate of a server."""

    @property
    def host(self) -> str:
        """Name of the host."""

    @property
    def forward_address(self) -> str:
        """IP address and port to which other hosts forward requests."""


class Step(typing.Protocol):
    """Range whose owner was replaced before the log shows it."""

    @property
    def version(self) -> int:
        """Version of the assignment that the step is based on."""

    @property
    def step(self) -> int:
        """Counts the replacements since that assignment."""

    @property
    def server(self) -> str:
        """Server that owns the range now."""


class Views(typing.Protocol):
    """What the leaders announce (`routing.views.RouteViews`)."""

    def last_update_of(self, domain: str) -> tuple[records.Term, int] | None:
        """Return term and sequence of the view of a domain."""

    def gate_of(self, server: str) -> Gate | None:
        """Return the gate of a server."""

    def step_of(self, service: str, position: int) -> Step | None:
        """Return the step that covers a position."""


class Follower(typing.Protocol):
    """Follows the log (`log.follower.Follower`)."""

    @property
    def ready(self) -> bool:
        """Whether the state was read since the start."""

    @property
    def last_read(self) -> float:
        """Clock at the start of the last read of the log, seconds."""


class Appender(typing.Protocol):
    """Appends to the log (`log.appender.Appender`)."""

    async def append(self, record: records.Record) -> int | outcomes.Refusal:
        """Return the offset at which a record was applied."""


class Peers(typing.Protocol):
    """Asks the other hosts (`admin.peers.PeerStatuses`)."""

    def hosts(self) -> collections.abc.Collection[str]:
        """Return the names of the hosts in the membership list."""

    async def statuses(
        self,
    ) -> dict[str, dict[str, typing.Any] | outcomes.Refusal]:
        """Return the status of each other host, or why there is none."""


Reports = typing.Mapping[str, typing.Callable[[], typing.Any]]
"""Further parts of a host's status by name, as plain data."""
