"""What servers say of themselves in responses, for the other hosts."""

from __future__ import annotations

import typing

from agatestile.observability import events

if typing.TYPE_CHECKING:
    from agatestile.catalog import directory as directory_module
    from agatestile.entry import header_port


class Notices(typing.NamedTuple):
    """Changes that this host learnt from responses.

    Attributes
    ----------
    departures : list of (str, int, float)
        Identifier and incarnation of servers that leave, and the time since
        they said so, seconds.
    rate_limits : list of (str, int, float or None, float)
        Identifier and incarnation of servers, their limit in requests per
        second, and the time since the response that changed it, seconds.
    """

    departures: list[tuple[str, int, float]]
    rate_limits: list[tuple[str, int, float | None, float]]


class ServerNotices:
    """Applies what servers say of themselves, and collects the changes.

    Parameters
    ----------
    directory : directory.Directory
        Directory to which they are applied.
    now : callable
        Clock of the event loop, seconds.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        now: typing.Callable[[], float],
    ) -> None:
        self._directory = directory
        self._now = now
        self._departed_at: dict[directory_module.Instance, float] = {}
        self._limited_at: dict[directory_module.Instance, float] = {}

    def on_response(
        self,
        instance: directory_module.Instance,
        headers: header_port.ServerHeaders,
    ) -> None:
        """Apply a response of a server."""
        now = self._now()
        if headers.is_leaving and self.on_departure(instance, now):
            self._departed_at[instance] = now
        if headers.rate_limit is None and not headers.has_signature:
            # Only a response of the server itself can lift its limit.
            return
        if self._directory.set_rate_limit(instance, headers.rate_limit, now):
            self._limited_at[instance] = now
            events.emit(
                "server_rate_limit",
                server=instance[0],
                incarnation=instance[1],
                rate=headers.rate_limit,
            )

    def on_departure(
        self, instance: directory_module.Instance, since: float
    ) -> bool:
        """Apply that a server said it leaves; return whether that is new."""
        is_new = self._directory.mark_leaving(instance, since)
        if is_new:
            events.emit(
                "server_leaving",
                server=instance[0],
                incarnation=instance[1],
                age=round(self._now() - since, 3),
            )
        return is_new

    def take(self) -> Notices:
        """Return the changes since the last call."""
        now = self._now()
        departures = [
            (*instance, now - at) for instance, at in self._departed_at.items()
        ]
        rate_limits = []
        for instance, at in self._limited_at.items():
            server = self._directory.by_id.get(instance[0])
            if server is not None and server.instance == instance:
                rate_limits.append((*instance, server.rate_limit, now - at))
        self._departed_at.clear()
        self._limited_at.clear()
        return Notices(departures, rate_limits)

    def restore(self, notices: Notices, taken_at: float) -> None:
        """Add changes that could not be reported."""
        for server_id, incarnation, age in notices.departures:
            self._departed_at.setdefault(
                (server_id, incarnation), taken_at - age
            )
        for server_id, incarnation, _, age in notices.rate_limits:
            self._limited_at.setdefault(
                (server_id, incarnation), taken_at - age
            )
