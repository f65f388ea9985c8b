"""Placement methods to compare."""

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
    """Planner of the moves in one failure domain."""

    def plan(
        self,
        now: float,
        weights_by_server: Mapping[str, int],
        owned: Sequence[planner.OwnedRange],
        hot_keys: Sequence[planner.HotKey] = (),
    ) -> list[planner.Move]:
        """Return the moves of one planning round."""


class Method(typing.NamedTuple):
    """A method of placing ranges.

    Attributes
    ----------
    name : str
        Name in the table.
    weighted : bool
        Whether the initial placement respects the weights of servers.
    bound : float
        Highest load of a server in the initial placement, relative to the
        mean.
    rounds : callable
        Creates the planner of one failure domain, which may be one that
        never moves a range.
    """

    name: str
    weighted: bool
    bound: float
    rounds: Callable[[], Rounds]

    def place(
        self, items: list[str], servers: list[rendezvous.Candidate]
    ) -> list[str]:
        """Return the initial owners of ranges."""
        if not self.weighted:
            servers = [server._replace(weight=1) for server in servers]
        placed = rendezvous.place(items, servers, self.bound)
        return [placement.server for placement in placed]


class NoMoves:
    """Planner that never moves a range."""

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
    """Planner of the moves that raise the entropy of loads most.

    It moves ranges while the entropy is below that of one server at the
    bound and equal loads on all others. Its budget of moves is that of
    `planner.Planner`, but it doesn't wait for several rounds, allows moves
    back and doesn't split ranges at hot keys.
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
        """Return the moves of one planning round."""
        loads = dict.fromkeys(weights_by_server, 0.0)
        for item in owned:
            loads[item.server] += item.load
        remaining = list(owned)
        moves: list[planner.Move] = []
        server_count = len(loads)
        equal_load = (server_count - self._limits.bound) / (server_count - 1)
        lowest_entropy = entropy(
            [self._limits.bound] + [equal_load] * (server_count - 1)
        )
        while entropy(
            _relative_loads(loads, weights_by_server)
        ) < lowest_entropy and self._budget.remaining(now):
            best = _best_move(loads, weights_by_server, remaining)
            if best is None:
                break
            item, target = best
            self._budget.take(now)
            loads[item.server] -= item.load
            loads[target] += item.load
            remaining.remove(item)
            moves.append(
                planner.Move("", item.start, item.end, item.server, target)
            )
        return moves


def entropy(loads: Sequence[float]) -> float:
    """Return the entropy of loads, 1 when they are equal."""
    total = sum(loads)
    if not total or len(loads) < 2:
        return 1.0
    shares = [load / total for load in loads if load > 0]
    return -sum(share * math.log(share) for share in shares) / math.log(
        len(loads)
    )


def _relative_loads(
    loads: Mapping[str, float], weights: Mapping[str, int]
) -> list[float]:
    return [load / weights[server] for server, load in loads.items()]


def _best_move(
    loads: dict[str, float],
    weights: Mapping[str, int],
    owned: Sequence[planner.OwnedRange],
) -> tuple[planner.OwnedRange, str] | None:
    best: tuple[planner.OwnedRange, str] | None = None
    best_entropy = entropy(_relative_loads(loads, weights)) + 1e-4
    for item in owned:
        for target in loads:
            if target == item.server:
                continue
            changed = dict(loads)
            changed[item.server] -= item.load
            changed[target] += item.load
            new_entropy = entropy(_relative_loads(changed, weights))
            if new_entropy > best_entropy:
                best, best_entropy = (item, target), new_entropy
    return best


def _make_planner() -> planner.Planner:
    limits = planner.Limits(bound=BOUND)
    return planner.Planner("", limits, planner.MoveBudget(limits))


METHODS = (
    Method("uniform hashing", False, math.inf, NoMoves),
    Method("weighted rendezvous", True, math.inf, NoMoves),
    Method("bounded rendezvous", True, BOUND, NoMoves),
    Method("bounded, planner", True, BOUND, _make_planner),
    Method(
        "bounded, entropy",
        True,
        BOUND,
        lambda: EntropyRounds(planner.Limits(bound=BOUND)),
    ),
)
