"""Sends grants and tracks servers that do not answer them."""

from __future__ import annotations

import typing

import anyio

from agatestile.assignment import leases
from agatestile.assignment import link_health
from agatestile.assignment import ports
from agatestile.observability import events

if typing.TYPE_CHECKING:
    from agatestile.assignment import ranges

UNRESPONSIVE_FAILURES = 2
"""Consecutive failed grants or connections after which the keys of a server
are moved."""

UNRESPONSIVE_EXCLUSION_SECONDS = 5.0
"""Time for which an unresponsive server gets no new keys: longer than service
discovery takes to drop a lost server."""

DISCOVERY_AWAY_SECONDS = 2.5
"""Age of the newest report of a server from which service discovery is
considered unavailable; servers report about once a second."""


class Failures(typing.NamedTuple):
    """Consecutive failed grants or connections of one server.

    Attributes
    ----------
    failure_count : int
        Number of failures.
    last_at : float
        Clock at the last failure, seconds.
    """

    failure_count: int
    last_at: float


class GrantSender:
    """Sends grants while the leader lease of this host is valid.

    Parameters
    ----------
    orders : ports.Orders
        Client of the servers.
    now : callable
        Clock that keeps running while the machine is suspended, seconds.

    Attributes
    ----------
    leader_lease : leases.LeaderLease
        Lease of this host on the leadership.
    key_leases : leases.KeyLeases
        Times until which servers may hold keys.
    """

    def __init__(
        self, orders: ports.Orders, now: typing.Callable[[], float]
    ) -> None:
        self._orders = orders
        self._now = now
        self._locks_by_instance: dict[leases.Instance, anyio.Lock] = {}
        self._failures_by_instance: dict[leases.Instance, Failures] = {}
        self._disconnected_since_by_instance: dict[leases.Instance, float] = {}
        self._link_health = link_health.LinkHealth()
        self.leader_lease = leases.LeaderLease()
        self.key_leases = leases.KeyLeases()

    def start_epoch(self) -> None:
        """Reset the failures that were counted in an earlier epoch."""
        self._failures_by_instance.clear()

    def lock_of(self, instance: leases.Instance) -> anyio.Lock:
        """Return the lock that serialises the orders to an instance."""
        return self._locks_by_instance.setdefault(instance, anyio.Lock())

    def busy_instances(self) -> set[leases.Instance]:
        """Return the instances to which an order is in progress."""
        return {
            instance
            for instance, lock in self._locks_by_instance.items()
            if lock.locked()
        }

    def discard_unused(
        self, mapped: set[leases.Instance], registered: set[leases.Instance]
    ) -> None:
        """Drop the state of instances that are no longer needed.

        Parameters
        ----------
        mapped : set of (str, int)
            Instances in the range maps.
        registered : set of (str, int)
            Instances that may get keys.
        """
        self.key_leases.retain(mapped)
        busy = self.busy_instances()
        for by_instance in (
            self._locks_by_instance,
            self._disconnected_since_by_instance,
        ):
            for instance in list(by_instance):
                if instance not in mapped and instance not in busy:
                    del by_instance[instance]
        for instance in list(self._failures_by_instance):
            if instance not in mapped and instance not in registered:
                del self._failures_by_instance[instance]

    def is_unresponsive(self, instance: leases.Instance) -> bool:
        """Return whether a server failed several times in a row."""
        failures = self._failures_by_instance.get(instance)
        return (
            failures is not None
            and failures.failure_count >= UNRESPONSIVE_FAILURES
        )

    def unresponsive_instances(self) -> set[leases.Instance]:
        """Return the instances that are unresponsive."""
        return {
            instance
            for instance in self._failures_by_instance
            if self.is_unresponsive(instance)
        }

    def is_same_instance(
        self, recipient: ports.Recipient, report_age: float
    ) -> bool:
        """Return whether a server has certainly not restarted unnoticed.

        After its connection was lost, a server must report the same
        incarnation to service discovery before its grants are renewed: a
        later incarnation holds no keys and must not get the fencing tokens
        of an earlier one.

        Parameters
        ----------
        recipient : ports.Recipient
            Instance that is expected at the address.
        report_age : float
            Age of its newest report to service discovery, seconds.
        """
        instance = (recipient.server_id, recipient.incarnation)
        if self._orders.is_connected(recipient):
            self._disconnected_since_by_instance.pop(instance, None)
            return True
        now = self._now()
        since = self._disconnected_since_by_instance.setdefault(instance, now)
        if report_age < now - since:
            return True
        # A report this old means that service discovery is unavailable.
        return report_age > DISCOVERY_AWAY_SECONDS

    async def grant(
        self,
        recipient: ports.Recipient,
        key_range: ranges.KeyRange,
        handover: str | None,
    ) -> ports.OrderResult | None:
        """Send a grant; return None if the leader lease has expired."""
        if not self.leader_lease.is_valid(self._now()):
            return None
        instance = (recipient.server_id, recipient.incarnation)
        started = self._now()
        result = None
        try:
            result = await self._orders.grant(
                recipient,
                key_range,
                leases.KEY_LEASE_SECONDS,
                handover,
                leases.GRANT_TIMEOUT_SECONDS,
            )
        finally:
            if result is None or result.reply is not ports.Reply.UNSENT:
                self.key_leases.record_grant(instance, self._now())
        unanswered = (ports.Reply.SILENT, ports.Reply.UNSENT)
        self._record_time(started, result.reply not in unanswered)
        self._record_result(instance, result, started)
        return result

    def is_link_slow(self) -> bool:
        """Return whether this host delays its orders itself."""
        return self._link_health.is_slow(self._now())

    def _record_time(self, started: float, is_answered: bool) -> None:
        now = self._now()
        self._link_health.on_result(now, now - started, is_answered)

    async def check_reachable(self, recipient: ports.Recipient) -> None:
        """Try to connect to a server that currently gets no grants.

        A server whose connection was lost gets no grants before it reports
        again, so its loss would otherwise be noticed late.
        """
        started = self._now()
        reason = await self._orders.unreachable_reason(recipient)
        self._record_time(started, not reason)
        if reason:
            instance = (recipient.server_id, recipient.incarnation)
            self._record_failure(instance, reason, started)

    async def readmit(self, recipient: ports.Recipient) -> None:
        """Allow an unresponsive server to get keys once it is reachable."""
        instance = (recipient.server_id, recipient.incarnation)
        await self.check_reachable(recipient)
        failures = self._failures_by_instance.get(instance)
        if failures is None:
            return
        if self._now() >= failures.last_at + UNRESPONSIVE_EXCLUSION_SECONDS:
            self._record_success(instance)

    def _record_result(
        self,
        instance: leases.Instance,
        result: ports.OrderResult,
        started: float,
    ) -> None:
        if result.reply is ports.Reply.DONE:
            self._record_success(instance)
        elif result.reply is not ports.Reply.FENCED:
            self._record_failure(instance, result.reason, started)

    def _record_success(self, instance: leases.Instance) -> None:
        if self.is_unresponsive(instance):
            events.emit("server_answers_again", server=instance[0])
        self._failures_by_instance.pop(instance, None)

    def _record_failure(
        self, instance: leases.Instance, reason: str, started: float
    ) -> None:
        now = self._now()
        is_timeout = now - started >= link_health.TIMEOUT_SECONDS
        if is_timeout and self.is_link_slow():
            events.emit(
                "timeout_ignored",
                server=instance[0],
                seconds=round(now - started, 3),
                reason=reason,
            )
            return
        previous = self._failures_by_instance.get(instance)
        count = 1 if previous is None else previous.failure_count + 1
        self._failures_by_instance[instance] = Failures(count, now)
        if count == UNRESPONSIVE_FAILURES:
            events.emit("server_silent", server=instance[0], reason=reason)
