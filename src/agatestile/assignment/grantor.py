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
"""Unanswered grants in a row after which a server's keys are moved."""

DISCOVERY_AWAY_SECONDS = 2.5
"""Age of a server's newest report from which service discovery counts as
away; servers report about once a second."""


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
    tenure : leases.Tenure
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
        self._silent_by_life: dict[leases.Life, int] = {}
        self._disconnected_by_life: dict[leases.Life, float] = {}
        self.tenure = leases.Tenure()
        self.holds = leases.Holds()

    def start_epoch(self) -> None:
        """Forget which servers were silent."""
        self._silent_by_life.clear()

    def lock_of(self, life: leases.Life) -> anyio.Lock:
        """Return the lock under which a life gets its orders."""
        return self._locks_by_life.setdefault(life, anyio.Lock())

    def busy_lives(self) -> set[leases.Life]:
        """Return the lives to which an order is under way."""
        return {
            life for life, lock in self._locks_by_life.items() if lock.locked()
        }

    def forget(self, named: set[leases.Life]) -> None:
        """Drop what is known of lives that no map names."""
        self.holds.forget(named)
        busy = self.busy_lives()
        for by_life in (
            self._locks_by_life,
            self._silent_by_life,
            self._disconnected_by_life,
        ):
            for life in list(by_life):
                if life not in named and life not in busy:
                    del by_life[life]

    def is_silent(self, life: leases.Life) -> bool:
        """Tell whether a server left several grants unanswered."""
        return self._silent_by_life.get(life, 0) >= SILENT_RENEWALS

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
        if not self.tenure.holds(self._now()):
            return None
        life = (recipient.server_id, recipient.incarnation)
        try:
            result = await self._orders.grant(
                recipient,
                key_range,
                leases.HOLD_SECONDS,
                handover,
                leases.ORDER_SECONDS,
            )
        finally:
            self.holds.on_grant_end(life, self._now())
        self._note_answer(life, result)
        return result

    def _note_answer(
        self, life: leases.Life, result: ports.OrderResult
    ) -> None:
        if result.reply is ports.Reply.DONE:
            if self.is_silent(life):
                events.emit("server_answers_again", server=life[0])
            self._silent_by_life.pop(life, None)
            return
        if result.reply is ports.Reply.FENCED:
            return
        count = self._silent_by_life.get(life, 0) + 1
        self._silent_by_life[life] = count
        if count == SILENT_RENEWALS:
            events.emit("server_silent", server=life[0], reason=result.reason)
