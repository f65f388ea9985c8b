"""Steps: ranges taken over by a successor before the log shows it."""

from __future__ import annotations

import typing

from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import ranges

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.state import cluster


class Step(typing.NamedTuple):
    """Replacement of a range's lost owner by a successor.

    Attributes
    ----------
    service : str
        Name of the service.
    start, end : int
        First position, and the position after the last.
    version : int
        Version of the range when its owner was replaced.
    number : int
        Number of replacements since that version.
    server : str
        Backend server that now serves the range.
    """

    service: str
    start: int
    end: int
    version: int
    number: int
    server: str

    @classmethod
    def from_thrift(cls, step: ttypes.RangeStep) -> Step:
        """Return the step that a message contains."""
        return cls(
            step.service_name,
            step.start,
            step.end,
            step.version,
            step.step,
            step.server,
        )

    def to_thrift(self) -> ttypes.RangeStep:
        """Return the message form of the step."""
        return ttypes.RangeStep(*self)


class Steps:
    """The steps in force in one domain.

    Attributes
    ----------
    sequence : int
        Increases with each change.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self._by_service: dict[str, dict[tuple[int, int, int], Step]] = {}

    def __iter__(self) -> collections.abc.Iterator[Step]:
        for steps in self._by_service.values():
            yield from steps.values()

    def replace(self, steps: collections.abc.Iterable[Step]) -> None:
        """Replace all steps by those of a new view."""
        self._by_service = {}
        for step in steps:
            self.merge(step)

    def merge(self, step: Step) -> None:
        """Add a step unless a later one of the same range is known."""
        steps = self._by_service.setdefault(step.service, {})
        key = (step.start, step.end, step.version)
        known = steps.get(key)
        if known is None or known.number < step.number:
            steps[key] = step
            self.sequence += 1

    def remove(self, step: Step) -> None:
        """Remove a step that every gate has read from the log."""
        steps = self._by_service[step.service]
        del steps[step.start, step.end, step.version]
        if not steps:
            del self._by_service[step.service]
        self.sequence += 1

    def find(
        self,
        state: cluster.ClusterState,
        service: str,
        position: int,
        current: ranges.Range,
    ) -> Step | None:
        """Return the step in force for a position of a range.

        A step applies to the version that it names, to older ones, which a
        lagging state may show, and to the version that an Intent gave the
        range, since an Intent does not change the owner.
        """
        steps = self._by_service.get(service)
        if not steps:
            return None
        oldest = _oldest_version(state, service, current)
        found = [
            step
            for step in steps.values()
            if step.start <= position < step.end and step.version >= oldest
        ]
        return max(
            found, key=lambda step: (step.version, step.number), default=None
        )

    def owner_of(
        self,
        state: cluster.ClusterState,
        service: str,
        current: ranges.Range,
        position: int | None = None,
    ) -> str:
        """Return the server that owns a position, or an empty string."""
        where = current.start if position is None else position
        step = self.find(state, service, where, current)
        return current.server if step is None else step.server


def _oldest_version(
    state: cluster.ClusterState, service: str, current: ranges.Range
) -> int:
    """Return the oldest known version of a range with the same owner.

    An Intent gives the ranges that it covers a new version without changing
    their owner; its bases are their previous versions.
    """
    if current.version != current.intent:
        return current.version
    intent = state.intents.by_offset.get(current.intent)
    if intent is None:
        return current.version
    for change in intent.changes:
        if change.service == service and (
            change.start <= current.start < change.end
        ):
            return min((current.version, *change.bases))
    return current.version


def plan_steps(
    state: cluster.ClusterState,
    steps: Steps,
    lost: str,
    live: collections.abc.Container[str],
) -> list[Step]:
    """Return the steps that give a lost server's ranges to successors.

    Ranges with an open Intent are left out, since the log may already
    contain their next owner.
    """
    row = state.table.servers_by_name.get(lost)
    if row is None:
        return []
    planned = []
    for current in state.ranges_by_service[row.service]:
        if current.intent != ranges.NO_INTENT:
            continue
        step = steps.find(state, row.service, current.start, current)
        owner = current.server if step is None else step.server
        if owner != lost:
            continue
        names = (*current.successors, current.server)
        successor = next(
            (name for name in names if name != lost and name in live), ""
        )
        if successor:
            planned.append(
                Step(
                    row.service,
                    current.start,
                    current.end,
                    current.version,
                    step.number + 1 if step else 1,
                    successor,
                )
            )
    return planned
