"""Merges the servers that the coordinator relays into a host's directory."""

from __future__ import annotations

import math
import typing

from agatestile.node import watchers
from agatestile.observability import events

if typing.TYPE_CHECKING:
    from agatestile.catalog import directory as directory_module
    from agatestile.node import messages as peer_messages


class RelayedDirectory:
    """Keeps what a host has read itself if that is more recent.

    Parameters
    ----------
    directory : directory.Directory
        Directory of this host, to which it also applies its own reads.
    now : callable
        Clock of the event loop, in seconds.

    Attributes
    ----------
    confirmed_at : float
        Time at which the directory that the coordinator relayed was certainly
        complete, in seconds; minus infinity without one.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        now: typing.Callable[[], float],
    ) -> None:
        self._directory = directory
        self._now = now
        self._version = 0
        self._epoch = 0
        self._reported_at = -math.inf
        self._merged_version = -1
        self.confirmed_at = -math.inf

    def known_version(self, epoch: int) -> int:
        """Return the version whose changes are missing here, 0 for all.

        After a read of its own that changed its directory, a host can't tell
        which changes are missing.

        Parameters
        ----------
        epoch : int
            Epoch of the coordinator that the host reports.
        """
        is_merged = self._directory.read_version <= self._merged_version
        return self._version if is_merged and self._epoch == epoch else 0

    def reported_age(self) -> float:
        """Return the age of the directory for a report, in seconds."""
        self._reported_at = self._directory.confirmed_at
        return self._now() - self._reported_at

    def apply(
        self, response: peer_messages.ReportResponse, sent_at: float
    ) -> None:
        """Apply the servers in the response to the last report.

        Ages in the response count from the time at which the report was
        sent, as the transfer may have taken long.

        Parameters
        ----------
        response : messages.ReportResponse
            Response of the coordinator.
        sent_at : float
            Time at which the report was sent, in seconds.
        """
        directory = self._directory
        unseen_since = self._reported_at
        if directory.confirmed_at != unseen_since:
            # This host has read service discovery since its report, so the
            # coordinator compared its directory with an outdated one.
            return
        if response.directory_era < directory.era:
            # It may lack what was written since the store was restored, and
            # its coordinator takes older entries for current ones.
            return
        if response.directory_era > directory.era:
            directory.start_era(response.directory_era, self._now())
        has_returned = any(
            directory.has_departed(relayed.entry())
            for relayed in response.servers
        )
        for relayed in response.servers:
            self._apply_server(relayed, sent_at, response.directory_age)
        if response.has_all_servers:
            directory.remove_unlisted(
                {relayed.id for relayed in response.servers}, unseen_since
            )
        watchers.expire_missing(directory, self._now())
        self.confirmed_at = sent_at - response.directory_age
        directory.confirm(self.confirmed_at)
        self._merged_version = directory.version
        # A later report of such a server is not a change for the coordinator.
        self._version = 0 if has_returned else response.directory_version
        self._epoch = response.epoch

    def _apply_server(
        self,
        relayed: peer_messages.RelayedServer,
        sent_at: float,
        directory_age: float,
    ) -> None:
        directory, now = self._directory, self._now()
        instance = (relayed.id, relayed.incarnation)
        if relayed.leaving_age is not None:
            since = sent_at - relayed.leaving_age
            directory.put(relayed.entry(), now, since)
            directory.mark_leaving(instance, since, relayed.is_missing)
        elif relayed.is_missing and directory.is_missing(relayed.id):
            # The coordinator still waits for the entry to return.
            pass
        elif directory.put(relayed.entry(), now):
            events.emit(
                "server_relayed",
                server=relayed.id,
                incarnation=relayed.incarnation,
                sequence=relayed.sequence,
                directory_age=round(directory_age, 3),
            )
        directory.set_rate_limit(
            instance, relayed.rate_limit, sent_at - relayed.rate_limit_age
        )
