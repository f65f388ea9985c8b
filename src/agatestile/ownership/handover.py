"""Planned moves of ranges: Intent, release and Assign."""

from __future__ import annotations

import collections
import typing
import uuid

from agatestile.ownership import permits
from agatestile.ownership import reassignment
from agatestile.ownership import terms
from agatestile.state import records

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.ownership import leadership
    from agatestile.state import cluster

MAX_CHANGES_PER_INTENT = 256
"""Keeps the record of an Intent below about 64 KiB."""
TAKE_OVER_DELAY = 1.0
"""Seconds by which the leader of each domain, in order of names, waits longer
than the one before until it assigns unowned ranges."""


def initial_assignment(
    state: cluster.ClusterState, domain: str
) -> tuple[records.RangeChange, ...]:
    """Return changes that give owners to all unowned ranges.

    Parameters
    ----------
    state : cluster.ClusterState
        The current state.
    domain : str
        Domain of the leader; one that is out assigns nothing.
    """
    if state.domain(domain).state != "in":
        return ()
    changes: list[records.RangeChange] = []
    for service in sorted(state.ranges_by_service):
        changes.extend(reassignment.assign_unowned(state, service))
    return tuple(changes)


def ranges_to_release(
    leader: leadership.Leadership, now: float
) -> dict[str, list[permits.Reference]]:
    """Return the ranges that the gate of each server has to release."""
    references: dict[str, list[permits.Reference]] = collections.defaultdict(
        list
    )
    for offset, intent in _open_intents(leader):
        if not _is_known_to_next_leader(leader, offset, now):
            continue
        for change in intent.changes:
            for owner, reference in _covered_ranges(leader, offset, change):
                if owner not in ("", change.server):
                    references[owner].append(reference)
    return references


def _open_intents(
    leader: leadership.Leadership,
) -> list[tuple[int, records.Intent]]:
    return [
        (offset, intent)
        for offset, intent in leader.state.intents.by_offset.items()
        if intent.domain == leader.domain
    ]


def _is_known_to_next_leader(
    leader: leadership.Leadership, offset: int, now: float
) -> bool:
    """Return whether the next leader will certainly know of an Intent.

    Then every later majority has a server with an epoch above the Intent.
    """
    return leader.votes.term.epoch > offset and leader.votes.is_confirmed(now)


def _covered_ranges(
    leader: leadership.Leadership, offset: int, change: records.RangeChange
) -> list[tuple[str, permits.Reference]]:
    """Return owners and ranges that an Intent's change still covers."""
    service = change.service
    range_map = leader.state.ranges_by_service.get(service)
    if range_map is None:
        return []
    return [
        (
            leader.steps.owner_of(leader.state, service, current),
            permits.Reference(
                service, current.start, current.end, current.version
            ),
        )
        for current in range_map.overlapping(change.start, change.end)
        if current.intent == offset
    ]


class Handover:
    """Plans the records that a leader appends to the log.

    Parameters
    ----------
    leader : leadership.Leadership
        The leadership whose records are planned.
    """

    def __init__(self, leader: leadership.Leadership) -> None:
        self._leader = leader
        self._first_term = leader.votes.term
        self._proposed: list[records.RangeChange] = []
        self._idle_inputs: tuple[typing.Any, ...] | None = None
        self._unowned_since: float | None = None

    def propose(
        self, changes: collections.abc.Iterable[records.RangeChange]
    ) -> None:
        """Add proposed moves, such as those that balance loads."""
        self._proposed.extend(changes)

    @property
    def has_proposals(self) -> bool:
        """Whether proposed moves wait for an Intent."""
        return bool(self._proposed)

    def is_registered(self) -> bool:
        """Return whether the log shows this leadership as the latest."""
        term = self._leader.state.domain(self._leader.domain).term
        return (
            term is not None
            and term.instance == self._first_term.instance
            and term >= self._first_term
        )

    def next_record(self, now: float) -> records.Record | None:
        """Return the record to append now, or None if there is none."""
        if not self._leader.may_act(now):
            return None
        if not self.is_registered():
            return self._registration()
        intents = _open_intents(self._leader)
        domain = self._leader.state.domain(self._leader.domain)
        if any(offset > domain.lead_offset for offset, _ in intents):
            return self._registration()
        for offset, intent in intents:
            assignable = self._assignable_changes(offset, intent, now)
            if assignable:
                return self._assign(assignable)
        return self._plan_record(now)

    def note_applied(
        self, record: records.Record, offset: int, now: float
    ) -> None:
        """Apply the offset at which a record was applied."""
        if isinstance(record, records.Lead) and self._leader.may_act(now):
            self._leader.votes.raise_epoch(offset)

    def _registration(self) -> records.Record:
        votes = self._leader.votes
        registered = self._leader.state.domain(self._leader.domain).term
        if registered is not None and votes.term <= registered:
            votes.term = terms.next_term(
                (votes.term, registered), votes.instance
            )
        return records.Lead(_request_id(), votes.domain, votes.term)

    def _assignable_changes(
        self, offset: int, intent: records.Intent, now: float
    ) -> list[records.RangeChange]:
        if not _is_known_to_next_leader(self._leader, offset, now):
            return []
        assignable = []
        for change in intent.changes:
            covered = _covered_ranges(self._leader, offset, change)
            if covered and all(
                owner in ("", change.server)
                or self._is_released(owner, reference, now)
                for owner, reference in covered
            ):
                bases = tuple(reference.version for _, reference in covered)
                assignable.append(_with_bases(change, bases))
        return assignable

    def _is_released(
        self, owner: str, reference: permits.Reference, now: float
    ) -> bool:
        gate = self._leader.gates_by_server.get(owner)
        if gate is None or not self._leader.is_service_settled(
            reference.service
        ):
            return False
        if gate.lease.is_lapsed(now):
            return True
        host = self._leader.hosts.get(gate.host)
        return (
            gate.is_granted
            and host is not None
            and host.instance == gate.instance
            and reference in host.released
        )

    def _plan_record(self, now: float) -> records.Record | None:
        state, steps = self._leader.state, self._leader.steps
        lost = frozenset(
            name
            for name, gate in self._leader.gates_by_server.items()
            if gate.is_lost
        )
        inputs = (state.offset, steps.sequence, len(self._proposed), lost)
        if inputs == self._idle_inputs:
            return None
        unowned = initial_assignment(state, self._leader.domain)
        if unowned:
            if self._unowned_since is None:
                self._unowned_since = now
            if now - self._unowned_since < self._take_over_delay():
                return None
            return self._assign(unowned)
        self._unowned_since = None
        changes = reassignment.confirm_steps(state, steps)
        if not changes and lost:
            changes = reassignment.move_off_lost_servers(state, steps, lost)
        if not changes:
            changes = reassignment.move_off_leaving_servers(
                state, self._leader.domain, lost
            )
        if not changes:
            changes, self._proposed = self._proposed, []
        if changes:
            domain = state.domain(self._leader.domain)
            return records.Intent(
                _request_id(),
                self._leader.domain,
                domain.term or terms.NO_TERM,
                tuple(changes[:MAX_CHANGES_PER_INTENT]),
            )
        self._idle_inputs = inputs
        self._update_chart()
        return None

    def _update_chart(self) -> None:
        """Update the chart when a domain that is out is emptied or not."""
        leader = self._leader
        if leader.chart.state == "in":
            return
        owners = {
            server
            for range_map in leader.state.ranges_by_service.values()
            for server in range_map.owners()
        }
        owns = not owners.isdisjoint(leader.gates_by_server)
        if owns == (leader.chart.state == "out"):
            leader.chart.send("owns" if owns else "emptied")

    def _take_over_delay(self) -> float:
        names = {
            row.domain
            for row in self._leader.state.table.servers_by_name.values()
        }
        position = sorted(names).index(self._leader.domain)
        return position * TAKE_OVER_DELAY

    def _assign(
        self, changes: collections.abc.Iterable[records.RangeChange]
    ) -> records.Record:
        domain = self._leader.state.domain(self._leader.domain)
        return records.Assign(
            _request_id(),
            self._leader.domain,
            domain.term or terms.NO_TERM,
            tuple(changes),
        )


def _with_bases(
    change: records.RangeChange, bases: tuple[int, ...]
) -> records.RangeChange:
    return records.RangeChange(
        change.service,
        change.start,
        change.end,
        bases,
        change.server,
        change.successors,
    )


def _request_id() -> str:
    return uuid.uuid4().hex
