"""Sends grants and tracks servers that do not answer them."""

from __future__ import annotations

import math
import typing

import anyio

from agatestile.assignment import leases
from agatestile.assignment import link_health
from agatestile.assignment import ports
from agatestile.observability import events

if typing.TYPE_CHECKING:
    from agatestile.assignment import ranges
    from agatestile.assignment import state

UNRESPONSIVE_FAILURES = 2
"""Consecutive failed grants or connections after which the keys of a server
are moved."""

UNRESPONSIVE_EXCLUSION_SECONDS = 5.0
"""Time for which an unresponsive server gets no new keys: longer than service
discovery takes to drop a lost server."""

RENEWAL_RESERVE_SECONDS = 1.6
"""Remaining key lease from which a grant is renewed with a new fencing token
instead of waiting for a report: two renewal intervals less the slack of the
lease."""


_NOT_SENT = (ports.Reply.UNSENT, ports.Reply.WITHHELD)
_WITHHELD = ports.OrderResult(
    ports.Reply.WITHHELD, None, "the leadership was not confirmed recently"
)


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

    A fencing token belongs to the first incarnation of a server that takes
    it. Orders name the identifier of the server only, so a grant is repeated
    only over a connection that can't reach a later incarnation: one that was
    open when the token was first sent, or when the incarnation that owns the
    keys was certainly running. Any connection will do for a new token, which
    is sent only shortly after the store has confirmed the leadership.

    Parameters
    ----------
    orders : ports.Orders
        Client of the servers.
    now : callable
        Clock that keeps running while the machine is suspended, seconds.
    is_withheld : callable, optional
        Returns whether new tokens and releases may not be sent, as the store
        lacks what this host has stored.

    Attributes
    ----------
    leader_lease : leases.LeaderLease
        Lease of this host on the leadership.
    key_leases : leases.KeyLeases
        Times until which servers may hold keys.
    """

    def __init__(
        self,
        orders: ports.Orders,
        now: typing.Callable[[], float],
        is_withheld: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        self._orders = orders
        self._now = now
        self._locks_by_server: dict[str, anyio.Lock] = {}
        self._failures_by_instance: dict[leases.Instance, Failures] = {}
        self._first_sent_by_fence: dict[int, float] = {}
        self._accepted_at_by_fence: dict[int, float] = {}
        self._unanswered_at_by_server: dict[str, float] = {}
        self._epoch = 0
        self._link_health = link_health.LinkHealth()
        self.leader_lease = leases.LeaderLease(is_withheld)
        self.key_leases = leases.KeyLeases()

    def start_epoch(self, epoch: int) -> None:
        """Send no tokens of earlier epochs and forget their failures."""
        self._epoch = epoch
        self._failures_by_instance.clear()

    def lock_of(self, server_id: str) -> anyio.Lock:
        """Return the lock that serialises the grants to a server."""
        return self._locks_by_server.setdefault(server_id, anyio.Lock())

    def busy_servers(self) -> set[str]:
        """Return the servers to which a grant is in progress."""
        return {
            server_id
            for server_id, lock in self._locks_by_server.items()
            if lock.locked()
        }

    def remaining_leases(
        self, instances: set[leases.Instance]
    ) -> list[tuple[str, int, float]]:
        """Return for how much longer instances may hold keys, seconds."""
        arrival_slack = (
            leases.SLOW_ARRIVAL_SLACK_SECONDS
            if self.is_link_slow()
            else leases.ARRIVAL_SLACK_SECONDS
        )
        return self.key_leases.remaining(
            instances, self.busy_servers(), self._now(), arrival_slack
        )

    def discard_unused(
        self,
        mapped: set[ranges.Owner],
        registered: set[leases.Instance],
    ) -> None:
        """Drop the state of servers that are no longer needed.

        Parameters
        ----------
        mapped : set of ranges.Owner
            Owners and sources in the range maps.
        registered : set of (str, int)
            Instances that may get keys.
        """
        mapped_ids = {owner.server_id for owner in mapped}
        self.key_leases.retain(mapped_ids)
        needed_ids = mapped_ids | self.busy_servers()
        for server_id in list(self._locks_by_server):
            if server_id not in needed_ids:
                del self._locks_by_server[server_id]
        fences = {owner.fence for owner in mapped}
        for at_by_fence in (
            self._first_sent_by_fence,
            self._accepted_at_by_fence,
        ):
            for fence in at_by_fence.keys() - fences:
                del at_by_fence[fence]
        mapped_instances = {leases.instance_of(owner) for owner in mapped}
        for instance in list(self._failures_by_instance):
            if instance not in mapped_instances | registered:
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

    def may_send(
        self, server: state.RegisteredServer, key_range: ranges.KeyRange
    ) -> bool:
        """Return whether a grant can reach no later incarnation.

        Parameters
        ----------
        server : state.RegisteredServer
            The instance that owns the keys.
        key_range : ranges.KeyRange
            The keys and the fencing token.
        """
        if self.is_new(key_range):
            return True
        return self._orders.is_connected(
            server.recipient, self._newest_connection(server, key_range)
        )

    def is_new(self, key_range: ranges.KeyRange) -> bool:
        """Return whether the token of a range has never been sent."""
        return key_range.owner.fence not in self._first_sent_by_fence

    def accepted_at(self, fence: int) -> float:
        """Return when the last grant with a token that was taken was sent.

        Its server had not seen a higher token for the keys by then.
        """
        return self._accepted_at_by_fence.get(fence, -math.inf)

    def is_surely_leading(self) -> bool:
        """Return whether new tokens and releases may be sent."""
        return self.leader_lease.is_sure(self._now())

    def needs_new_fence(self, server_id: str) -> bool:
        """Return whether a server's lease ends before it reports in time."""
        left = self.key_leases.granted_until(server_id) - self._now()
        return left < RENEWAL_RESERVE_SECONDS

    async def grant(
        self,
        server: state.RegisteredServer,
        key_range: ranges.KeyRange,
        handover: str | None,
    ) -> ports.OrderResult | None:
        """Send a grant; return None if this host no longer leads its epoch.

        The caller may have waited since it chose the token, while this host
        lost the leadership and took it again.
        """
        is_leading = self.leader_lease.is_valid(self._now())
        if not is_leading or not self._is_of_current_epoch(key_range):
            return None
        recipient = server.recipient
        started = self._now()
        result = None
        try:
            result = await self._send(server, key_range, handover)
        finally:
            if result is None or result.reply not in _NOT_SENT:
                self.key_leases.record_grant(recipient.server_id, self._now())
        if result.reply is ports.Reply.WITHHELD:
            return result
        unanswered = (ports.Reply.SILENT, ports.Reply.UNSENT)
        self._record_time(started, result.reply not in unanswered)
        if result.reply is ports.Reply.DONE:
            self._accepted_at_by_fence[key_range.owner.fence] = started
        if result.reply is ports.Reply.SILENT:
            self._unanswered_at_by_server[recipient.server_id] = self._now()
        self._extend_delayed_leases()
        self._record_result(recipient[:2], result, started)
        return result

    async def release(
        self,
        recipient: ports.Recipient,
        order: ranges.KeyRange,
        timeout: float,
    ) -> ports.OrderResult:
        """Send a release unless this host may no longer lead its epoch.

        A release is never refused, so that of a superseded leader could undo
        a grant of its successor.
        """
        started = self._now()
        if not self._orders.is_connected(recipient, math.inf):
            reason = "timeout"
            with anyio.move_on_after(timeout):
                reason = await self._orders.connect(recipient)
            if reason:
                return ports.OrderResult(ports.Reply.UNSENT, None, reason)

        def may_send() -> bool:
            is_current = self._is_of_current_epoch(order)
            return is_current and self.is_surely_leading()

        if not may_send():
            return _WITHHELD
        left = max(0.01, timeout - (self._now() - started))
        return await self._orders.release(recipient, order, left, may_send)

    async def _send(
        self,
        server: state.RegisteredServer,
        key_range: ranges.KeyRange,
        handover: str | None,
    ) -> ports.OrderResult:
        recipient = server.recipient
        fence = key_range.owner.fence
        is_new = self.is_new(key_range)
        if is_new and not self._orders.is_connected(recipient, math.inf):
            reason = await self._orders.connect(recipient)
            if reason:
                return ports.OrderResult(ports.Reply.UNSENT, None, reason)
        if is_new:
            # The host may have lost the leadership while it connected.
            is_current = self._is_of_current_epoch(key_range)
            if not is_current or not self.is_surely_leading():
                return _WITHHELD
            self._first_sent_by_fence[fence] = self._orders.now()
            self._log_new_token(server, key_range)
        result = await self._orders.grant(
            recipient,
            key_range,
            leases.KEY_LEASE_SECONDS,
            handover,
            leases.GRANT_TIMEOUT_SECONDS,
            self._newest_connection(server, key_range),
        )
        if is_new and result.reply is ports.Reply.UNSENT:
            self._first_sent_by_fence.pop(fence, None)
        return result

    def _is_of_current_epoch(self, key_range: ranges.KeyRange) -> bool:
        epoch = leases.FencingTokens.epoch_of(key_range.owner.fence)
        return epoch == self._epoch

    def _log_new_token(
        self, server: state.RegisteredServer, key_range: ranges.KeyRange
    ) -> None:
        age = self.leader_lease.confirmation_age(self._now())
        events.emit(
            "token_sent",
            server=server.recipient.server_id,
            incarnation=server.recipient.incarnation,
            first=key_range.first,
            last=key_range.last,
            fence=key_range.owner.fence,
            confirmation_age=round(age, 3),
        )

    def _newest_connection(
        self, server: state.RegisteredServer, key_range: ranges.KeyRange
    ) -> float:
        """Return up to when a connection must be open for a repeated grant."""
        first_sent = self._first_sent_by_fence[key_range.owner.fence]
        return max(first_sent, server.alive_at)

    def is_link_slow(self) -> bool:
        """Return whether this host delays its orders itself."""
        return self._link_health.is_slow(self._now())

    def _record_time(self, started: float, is_answered: bool) -> None:
        now = self._now()
        self._link_health.on_result(now, now - started, is_answered)

    def _extend_delayed_leases(self) -> None:
        """Extend leases for grants that may wait in this host's own queue.

        The delay shows only once several grants have not been answered, which
        takes longer the fewer servers there are.
        """
        oldest = self._now() - leases.SLOW_ARRIVAL_SLACK_SECONDS
        for server_id, at in list(self._unanswered_at_by_server.items()):
            if at < oldest:
                del self._unanswered_at_by_server[server_id]
        if not self._unanswered_at_by_server or not self.is_link_slow():
            return
        for server_id, at in self._unanswered_at_by_server.items():
            self.key_leases.record_delayed_grant(server_id, at)

    async def check_reachable(self, recipient: ports.Recipient) -> None:
        """Try to connect to a server that currently gets no grants.

        A server whose connection was lost gets no grants before it reports
        again, so its loss would otherwise be noticed late.
        """
        started = self._now()
        reason = await self._orders.connect(recipient)
        self._record_time(started, not reason)
        self._extend_delayed_leases()
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
