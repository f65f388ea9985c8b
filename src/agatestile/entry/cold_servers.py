"""Which servers are cold, or may have become cold without a report."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from agatestile.catalog import directory

CONFIRMATION_SECONDS = 2.0
"""Time by which a server's report of a cold start would have arrived: the
interval of reports, of reads and of messages between hosts."""


class ColdServers:
    """What a host knows of cold servers beside their reports.

    A report may be seconds old, or not arrive at all while the store is down.
    """

    def __init__(self) -> None:
        self._suspected_since: dict[directory.Instance, float] = {}
        self._warm_at: dict[directory.Instance, float] = {}
        self._evacuation_ended: dict[str, float] = {}

    def suspect(self, instance: directory.Instance, now: float) -> None:
        """Record that a server may have restarted."""
        self._suspected_since[instance] = now

    def on_warmup(
        self, instance: directory.Instance, left: float | None, now: float
    ) -> None:
        """Record for how long a server says that it is cold.

        Parameters
        ----------
        instance : tuple of (str, int)
            The server.
        left : float or None
            Time from now, seconds; None if the server does not say.
        now : float
            Clock, seconds.
        """
        if left:
            self._warm_at[instance] = now + left
        elif left is not None:
            self._warm_at.pop(instance, None)

    def on_evacuation_ended(self, domain: str, now: float) -> None:
        """Record that the servers of a failure domain may have cooled down."""
        self._evacuation_ended[domain] = now

    def is_cold(self, server: directory.Server, now: float) -> bool:
        """Return whether a server is cold or may have restarted cold."""
        entry = server.entry
        if entry.warmup_left > 0 and now < server.received + entry.warmup_left:
            return True
        if now < self._warm_at.get(server.instance, now):
            return True
        return any(
            since is not None and now < since + CONFIRMATION_SECONDS
            for since in (
                self._suspected_since.get(server.instance),
                self._evacuation_ended.get(entry.failure_domain),
            )
        )

    def retain(self, instances: set[directory.Instance]) -> None:
        """Forget all other instances."""
        for by_instance in (self._suspected_since, self._warm_at):
            for instance in by_instance.keys() - instances:
                del by_instance[instance]
