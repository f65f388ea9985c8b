"""How a leader stores its state again in a restored store."""

from __future__ import annotations

import math
import typing

import msgspec

from agatestile.assignment import eras
from agatestile.assignment import leases
from agatestile.assignment import ranges
from agatestile.observability import events
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.assignment import assignment_writer
    from agatestile.assignment import grant_sender as grant_sender_module
    from agatestile.assignment import journal as journal_module
    from agatestile.assignment import records
    from agatestile.assignment import state

CERTAINTY_DELAY_SECONDS = (
    leases.SURE_LEADERSHIP_SECONDS + leases.SURE_LEADERSHIP_MARGIN_SECONDS
)
"""Time after which no leader of an earlier era sends new tokens or releases:
the store has confirmed none since it was restored."""

PROOF_SECONDS = 2.0
"""Time that owners then get to accept a renewal: two renewal intervals."""


class Restored(typing.NamedTuple):
    """State that was stored again.

    Attributes
    ----------
    leadership : records.Leadership
        The new leadership.
    fencing_tokens : leases.FencingTokens
        Tokens of its epoch.
    maps : dict of str to ranges.RangeMap
        Range maps by service.
    uncertain_ranges : int
        Number of ranges that any server may hold.
    noticed_at : float
        When the era was noticed, seconds.
    sent_at : float
        When the append was sent, seconds.
    """

    leadership: records.Leadership
    fencing_tokens: leases.FencingTokens
    maps: dict[str, ranges.RangeMap]
    uncertain_ranges: int
    noticed_at: float
    sent_at: float


class Restoration:
    """Stores the state of a leader again, while it renews its grants.

    A leader can't know by itself whether another one led before the store was
    restored, and was lost with it. The other one sends no new tokens and
    releases after `CERTAINTY_DELAY_SECONDS`. An owner that accepts its earlier
    token later than that has released nothing to it.

    Parameters
    ----------
    leader : state.Leader
        Leadership of this host.
    journal : journal.Journal
        Reads what the store has left.
    writer : assignment_writer.AssignmentWriter
        Stores assignments.
    grant_sender : grant_sender.GrantSender
        Knows which owners have accepted renewals.
    now : callable
        Clock that keeps running while the machine is suspended, seconds.
    """

    def __init__(
        self,
        leader: state.Leader,
        journal: journal_module.Journal,
        writer: assignment_writer.AssignmentWriter,
        grant_sender: grant_sender_module.GrantSender,
        now: typing.Callable[[], float],
    ) -> None:
        self._leader = leader
        self._journal = journal
        self._writer = writer
        self._grant_sender = grant_sender
        self._now = now
        self._era = 0
        self._noticed_at = -math.inf

    async def attempt(self, own: records.Leadership) -> Restored | None:
        """Store the state again if that is possible by now.

        Parameters
        ----------
        own : records.Leadership
            Leadership of this host, of an earlier era.

        Returns
        -------
        Restored or None
            None if it has to be tried again or the leadership is lost.
        """
        leader = self._leader
        if not leader.is_active:
            leader.lose_leadership("its lease ended before the store was back")
            return None
        epoch = leader.epoch
        self._notice(own)
        stored = await self._journal.read()
        if isinstance(stored, outcomes.Refusal) or epoch != leader.epoch:
            return None
        era = self._journal.era
        if era != self._era:
            return None
        if stored.leadership.epoch > epoch or stored.leadership.era == era:
            leader.lose_leadership(f"another host has led in era {era}")
            return None
        uncertain = sum(
            not self._is_certain(key_range)
            for service_state in leader.services.values()
            for key_range in service_state.key_map.ranges
        )
        if not self._may_store(not uncertain):
            return None
        leadership = msgspec.structs.replace(
            own,
            epoch=max(
                eras.next_epoch(stored.leadership, stored.maps, era),
                eras.next_epoch(own, {}, era),
            ),
            era=era,
            is_settled=False,
            quota_hosts=[*own.quota_hosts, eras.UNKNOWN_HOST],
        )
        fencing_tokens = leases.FencingTokens(leadership.epoch)
        maps = {
            name: fencing_tokens.renew_all(
                eras.with_unknown_holders(
                    service_state.key_map, self._is_certain
                )
            )
            for name, service_state in leader.services.items()
        }
        sent_at = self._now()
        refusal = await self._writer.write_all(
            leadership, leader.services, maps
        )
        if refusal is not None:
            events.emit("restoration_delayed", era=era, reason=str(refusal))
        if refusal is not None or epoch != leader.epoch:
            return None
        return Restored(
            leadership,
            fencing_tokens,
            maps,
            uncertain,
            self._noticed_at,
            sent_at,
        )

    def _notice(self, own: records.Leadership) -> None:
        era = self._journal.newest_era
        if era != self._era:
            self._era = era
            self._noticed_at = self._now()
            events.emit(
                "restoration_started",
                era=era,
                epoch=own.epoch,
                earlier=own.era,
            )

    def _may_store(self, is_proven: bool) -> bool:
        """Return whether owners are proven, or had enough time for it."""
        now = self._now()
        certain_from = self._noticed_at + CERTAINTY_DELAY_SECONDS
        if now < certain_from:
            return False
        return is_proven or now >= certain_from + PROOF_SECONDS

    def _is_certain(self, key_range: ranges.KeyRange) -> bool:
        """Return whether the owner of a range alone holds its keys."""
        if key_range.owner == ranges.UNOWNED:
            return False
        if key_range.source != ranges.UNOWNED:
            return False
        accepted_at = self._grant_sender.accepted_at(key_range.owner.fence)
        return accepted_at >= self._noticed_at + CERTAINTY_DELAY_SECONDS
