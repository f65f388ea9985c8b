"""Sends grants for as long as this host may, and notes who is silent."""

from __future__ import annotations

import typing

import anyio

from agatestile.assignment import leases
from agatestile.assignment import ports
from agatestile.observability import events

if typing.TYPE_CHECKING:
    from agatestile.assignment import ranges

SILENT_RENEWALS = 2
"""Failed grants or connections in a row after which a server's keys are
moved."""

SILENT_KEEP_SECONDS = 5.0
"""Time for which a silent server gets no new keys: longer than discovery
takes to drop a server that was lost."""

DISCOVERY_AWAY_SECONDS = 2.5
"""Age of a server's newest report from which service discovery counts as
away; servers report about once a second."""


class Failures(typing.NamedTuple):
    """Failed grants or connections of one server in a row.

    Attributes
    ----------
    in_row : int
        How many.
    last : float
        When the last one failed, seconds.
    """

    in_row: int
    last: float


class Grantor:
    """Grants to servers, within this host's tenure.

    Parameters
    ----------
    orders : ports.Orders
        Sends grants.
    now : callable
        Clock that goes on while the machine is suspended, seconds.

    Attributes
    ----------
    leader_lease : leases.LeaderLease
        Right of this host to decide.
    holds : leases.Holds
        Until when servers may hold keys.
    """

    def __init__(
        self, orders: ports.Orders, now: typing.Callable[[], float]
    ) -> None:
        self._orders = orders
        self._now = now
        self._locks_by_life: dict[leases.Life, anyio.Lock] = {}
        self._failures_by_life: dict[leases.Life, Failures] = {}
        self._disconnected_by_life: dict[leases.Life, float] = {}
        self.leader_lease = leases.LeaderLease()
        self.holds = leases.Holds()

    def start_epoch(self) -> None:
        """Forget which servers were silent."""
        self._failures_by_life.clear()

    def lock_of(self, life: leases.Life) -> anyio.Lock:
        """Return the lock under which a life gets its orders."""
        return self._locks_by_life.setdefault(life, anyio.Lock())

    def busy_lives(self) -> set[leases.Life]:
        """Return the lives to which an order is under way."""
        return {
            life for life, lock in self._locks_by_life.items() if lock.locked()
        }

    def forget(
        self, named: set[leases.Life], placed: set[leases.Life]
    ) -> None:
        """Drop what is known of lives that are not needed any more.

        Parameters
        ----------
        named : set of (str, int)
            Lives that the maps name.
        placed : set of (str, int)
            Lives that may get keys.
        """
        self.holds.forget(named)
        busy = self.busy_lives()
        for by_life in (self._locks_by_life, self._disconnected_by_life):
            for life in list(by_life):
                if life not in named and life not in busy:
                    del by_life[life]
        for life in list(self._failures_by_life):
            if life not in named and life not in placed:
                del self._failures_by_life[life]

    def is_silent(self, life: leases.Life) -> bool:
        """Tell whether a server left several grants unanswered."""
        failures = self._failures_by_life.get(life)
        return failures is not None and failures.in_row >= SILENT_RENEWALS

    def silent_lives(self) -> set[leases.Life]:
        """Return the lives that are silent."""
        return {
            life for life in self._failures_by_life if self.is_silent(life)
        }

    def is_same_life(
        self, recipient: ports.Recipient, report_age: float
    ) -> bool:
        """Tell whether a server surely did not start anew unnoticed.

        After its connection was lost, a server has to report to service
        discovery as the same life before its grants are renewed: a later
        life holds nothing and must not get the fences of an earlier one.

        Parameters
        ----------
        recipient : ports.Recipient
            The life that is believed to be there.
        report_age : float
            Age of its newest report to service discovery, seconds.
        """
        life = (recipient.server_id, recipient.incarnation)
        if self._orders.is_connected(recipient):
            self._disconnected_by_life.pop(life, None)
            return True
        now = self._now()
        since = self._disconnected_by_life.setdefault(life, now)
        if report_age < now - since:
            return True
        # Without news of any server, discovery itself is away.
        return report_age > DISCOVERY_AWAY_SECONDS

    async def grant(
        self,
        recipient: ports.Recipient,
        key_range: ranges.KeyRange,
        handover: str | None,
    ) -> ports.OrderResult | None:
        """Send a grant; None if this host may not decide any more."""
        if not self.leader_lease.is_valid(self._now()):
            return None
        life = (recipient.server_id, recipient.incarnation)
        result = None
        try:
            result = await self._orders.grant(
                recipient,
                key_range,
                leases.HOLD_SECONDS,
                handover,
                leases.ORDER_SECONDS,
            )
        finally:
            if result is None or result.reply is not ports.Reply.UNSENT:
                self.holds.on_grant_end(life, self._now())
        self._note_answer(life, result)
        return result

    async def check_reachable(self, recipient: ports.Recipient) -> None:
        """Try to connect to a server that gets no grants at present.

        A server whose connection was lost is not granted anything before it
        reports, so that one that was lost would be noticed late.
        """
        reason = await self._orders.unreachable_reason(recipient)
        if reason:
            life = (recipient.server_id, recipient.incarnation)
            self._note_failure(life, reason)

    async def readmit(self, recipient: ports.Recipient) -> None:
        """Let a silent server without keys take some once it is back."""
        life = (recipient.server_id, recipient.incarnation)
        await self.check_reachable(recipient)
        failures = self._failures_by_life.get(life)
        if failures is None:
            return
        if self._now() >= failures.last + SILENT_KEEP_SECONDS:
            self._note_success(life)

    def _note_answer(
        self, life: leases.Life, result: ports.OrderResult
    ) -> None:
        if result.reply is ports.Reply.DONE:
            self._note_success(life)
        elif result.reply is not ports.Reply.FENCED:
            self._note_failure(life, result.reason)

    def _note_success(self, life: leases.Life) -> None:
        if self.is_silent(life):
            events.emit("server_answers_again", server=life[0])
        self._failures_by_life.pop(life, None)

    def _note_failure(self, life: leases.Life, reason: str) -> None:
        before = self._failures_by_life.get(life)
        count = 1 if before is None else before.in_row + 1
        self._failures_by_life[life] = Failures(count, self._now())
        if count == SILENT_RENEWALS:
            events.emit("server_silent", server=life[0], reason=reason)
