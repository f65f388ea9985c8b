"""Methods of placement that are compared."""

from __future__ import annotations

import math
import typing

from agatestile.placement import planner
from agatestile.placement import rendezvous

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

BOUND = 1.25


class Rounds(typing.Protocol):
    """Plans moves in one failure domain."""

    def plan(
        self,
        now: float,
        weights_by_server: Mapping[str, int],
        owned: Sequence[planner.OwnedRange],
        hot_keys: Sequence[planner.HotKey] = (),
    ) -> list[planner.Move]:
        """Return the moves of one round."""


class Method(typing.NamedTuple):
    """A way to place ranges.

    Attributes
    ----------
    name : str
        Shown in the table.
    weighted : bool
        Whether the initial placement knows the servers' weights.
    bound : float
        Bound of the initial placement.
    rounds : callable
        Makes the planner of one failure domain, which may never move.
    """

    name: str
    weighted: bool
    bound: float
    rounds: Callable[[], Rounds]

    def place(
        self, items: list[str], servers: list[rendezvous.Candidate]
    ) -> list[str]:
        """Return the first owners of ranges."""
        if not self.weighted:
            servers = [server._replace(weight=1) for server in servers]
        placed = rendezvous.place(items, servers, self.bound)
        return [placement.server for placement in placed]


class NoMoves:
    """Never moves anything."""

    def plan(
        self,
        now: float,
        weights_by_server: Mapping[str, int],
        owned: Sequence[planner.OwnedRange],
        hot_keys: Sequence[planner.HotKey] = (),
    ) -> list[planner.Move]:
        """Return no moves."""
        return []


class EntropyRounds:
    """Moves what raises the entropy of the loads most.

    It acts when the entropy is below that of one server at the bound and
    all others even, with the same budget of moves as the planner, but
    without its wait of several rounds, its rule against returns and its
    splitting of ranges at hot keys.
    """

    def __init__(self, limits: planner.Limits) -> None:
        self._limits = limits
        self._budget = planner.MoveBudget(limits)

    def plan(
        self,
        now: float,
        weights_by_server: Mapping[str, int],
        owned: Sequence[planner.OwnedRange],
        hot_keys: Sequence[planner.HotKey] = (),
    ) -> list[planner.Move]:
        """Return the moves of one round."""
        loads = dict.fromkeys(weights_by_server, 0.0)
        for item in owned:
            loads[item.server] += item.load
        left = list(owned)
        moves: list[planner.Move] = []
        count = len(loads)
        even = (count - self._limits.bound) / (count - 1)
        least = entropy([self._limits.bound] + [even] * (count - 1))
        while entropy(
            _relative(loads, weights_by_server)
        ) < least and self._budget.remaining(now):
            best = _best(loads, weights_by_server, left)
            if best is None:
                break
            item, target = best
            self._budget.take(now)
            loads[item.server] -= item.load
            loads[target] += item.load
            left.remove(item)
            moves.append(
                planner.Move("", item.start, item.end, item.server, target)
            )
        return moves


def entropy(loads: Sequence[float]) -> float:
    """Return the entropy of loads, 1 when they are even."""
    total = sum(loads)
    if not total or len(loads) < 2:
        return 1.0
    parts = [load / total for load in loads if load > 0]
    return -sum(part * math.log(part) for part in parts) / math.log(len(loads))


def _relative(
    loads: Mapping[str, float], weights: Mapping[str, int]
) -> list[float]:
    return [load / weights[server] for server, load in loads.items()]


def _best(
    loads: dict[str, float],
    weights: Mapping[str, int],
    owned: Sequence[planner.OwnedRange],
) -> tuple[planner.OwnedRange, str] | None:
    best: tuple[planner.OwnedRange, str] | None = None
    highest = entropy(_relative(loads, weights)) + 1e-4
    for item in owned:
        for target in loads:
            if target == item.server:
                continue
            changed = dict(loads)
            changed[item.server] -= item.load
            changed[target] += item.load
            reached = entropy(_relative(changed, weights))
            if reached > highest:
                best, highest = (item, target), reached
    return best


def _planned() -> planner.Planner:
    limits = planner.Limits(bound=BOUND)
    return planner.Planner("", limits, planner.MoveBudget(limits))


METHODS = (
    Method("uniform hashing", False, math.inf, NoMoves),
    Method("weighted rendezvous", True, math.inf, NoMoves),
    Method("bounded rendezvous", True, BOUND, NoMoves),
    Method("bounded, planner", True, BOUND, _planned),
    Method(
        "bounded, entropy",
        True,
        BOUND,
        lambda: EntropyRounds(planner.Limits(bound=BOUND)),
    ),
)
