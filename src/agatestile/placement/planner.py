"""Plans moves of ranges from overloaded to less loaded servers."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    import collections.abc

MIN_GAIN = 0.02
"""Part of the mean load by which a move must lower the highest load. Less
is within the noise of the load figures."""
HOT_KEY_SHARE = 0.25
"""Part of its server's load above which a key is moved on its own."""


class Limits(typing.NamedTuple):
    """When and how much the planner moves. See section 9 of docs/design.md.

    Attributes
    ----------
    bound : float
        Tolerated load of the hottest server, relative to the mean.
    target_bound : float
        Load of the hottest server, relative to the mean, down to which
        the planner moves ranges once it has begun.
    rounds : int
        Number of consecutive rounds above the bound before ranges move.
    moves : int
        Largest number of moves within `window`.
    window : float
        Time for which a move counts against the budget, seconds.
    return_after : float
        Time before a range may move back to a server that it came from,
        seconds.
    min_mean_load : float
        Mean load of a server below which no range moves, requests/s.
    """

    bound: float = 1.25
    target_bound: float = 1.1
    rounds: int = 3
    moves: int = 4
    window: float = 60.0
    return_after: float = 60.0
    min_mean_load: float = 1.0


class OwnedRange(typing.NamedTuple):
    """A range, its owner and its load in requests/s."""

    start: int
    end: int
    server: str
    load: float


class HotKey(typing.NamedTuple):
    """A position and its load in requests/s."""

    position: int
    load: float


class Move(typing.NamedTuple):
    """Move of the positions in [start, end) to another server."""

    service: str
    start: int
    end: int
    source: str
    target: str


class MoveBudget:
    """Limits the number of moves in one failure domain.

    Parameters
    ----------
    limits : Limits
        Number of moves allowed within a time window.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._times: collections.deque[float] = collections.deque()

    def take(self, now: float) -> bool:
        """Count a move and return True, unless the budget is used up."""
        if not self.remaining(now):
            return False
        self._times.append(now)
        return True

    def remaining(self, now: float) -> int:
        """Return how many moves are allowed now."""
        while self._times and self._times[0] <= now - self._limits.window:
            self._times.popleft()
        return self._limits.moves - len(self._times)


class Planner:
    """Plans moves within one service and failure domain.

    Parameters
    ----------
    service : str
        Name of the service.
    limits : Limits
        When and how much to move.
    budget : MoveBudget
        Shared by the planners of one failure domain.
    """

    def __init__(
        self, service: str, limits: Limits, budget: MoveBudget
    ) -> None:
        self._service = service
        self._limits = limits
        self._budget = budget
        self._rounds = 0
        self._recent_moves: collections.deque[tuple[float, Move]] = (
            collections.deque()
        )

    def plan(
        self,
        now: float,
        weights_by_server: collections.abc.Mapping[str, int],
        owned: collections.abc.Sequence[OwnedRange],
        hot_keys: collections.abc.Sequence[HotKey] = (),
    ) -> list[Move]:
        """Return the moves of one round.

        Parameters
        ----------
        now : float
            Clock, seconds.
        weights_by_server : mapping of str to int
            Servers that may own ranges.
        owned : sequence of OwnedRange
            All ranges of these servers, with their loads.
        hot_keys : sequence of HotKey
            Keys known to be hot. The loads of their ranges include theirs.
        """
        while self._recent_moves and self._recent_moves[0][0] <= (
            now - self._limits.return_after
        ):
            self._recent_moves.popleft()
        model = _LoadModel(weights_by_server, owned, hot_keys)
        if not model.is_above(self._limits.bound, self._limits.min_mean_load):
            self._rounds = 0
            return []
        self._rounds += 1
        if self._rounds < self._limits.rounds:
            return []
        moves: list[Move] = []
        target, min_load = (
            self._limits.target_bound,
            self._limits.min_mean_load,
        )
        while model.is_above(target, min_load) and self._budget.remaining(now):
            move = self._best_move(model)
            if move is None:
                break
            self._budget.take(now)
            self._recent_moves.append((now, move))
            moves.append(move)
        return moves

    def _best_move(self, model: _LoadModel) -> Move | None:
        hottest, coldest = model.hottest(), model.coldest()
        best: OwnedRange | None = None
        lowest = model.relative_load(hottest) - MIN_GAIN * model.mean
        for part in model.parts_by_server[hottest]:
            after = max(
                model.relative_load(hottest, -part.load),
                model.relative_load(coldest, part.load),
            )
            if after < lowest and not self._would_return(part, coldest):
                best, lowest = part, after
        if best is None:
            return None
        model.move(best, coldest)
        return Move(self._service, best.start, best.end, hottest, coldest)

    def _would_return(self, part: OwnedRange, target: str) -> bool:
        return any(
            move.source == target
            and move.start < part.end
            and part.start < move.end
            for _, move in self._recent_moves
        )


class _LoadModel:
    """Planned loads of servers and the parts of ranges that can move."""

    def __init__(
        self,
        weights_by_server: collections.abc.Mapping[str, int],
        owned: collections.abc.Sequence[OwnedRange],
        hot_keys: collections.abc.Sequence[HotKey],
    ) -> None:
        self._weights = weights_by_server
        self._loads = dict.fromkeys(weights_by_server, 0.0)
        self.parts_by_server: dict[str, list[OwnedRange]] = {
            name: [] for name in weights_by_server
        }
        for item in owned:
            self._loads[item.server] += item.load
        for item in owned:
            self.parts_by_server[item.server].extend(
                self._split_at_hot_keys(item, hot_keys)
            )
        total = sum(weights_by_server.values())
        self.mean = sum(self._loads.values()) / total if total else 0.0

    def is_above(self, bound: float, min_mean_load: float) -> bool:
        """Return whether the hottest server is above a bound.

        This is false while the mean load is below `min_mean_load`.
        """
        return (
            len(self._loads) > 1
            and self.mean >= min_mean_load
            and self.relative_load(self.hottest()) > bound * self.mean
        )

    def relative_load(self, server: str, change: float = 0.0) -> float:
        """Return a server's load per unit of weight, after a change."""
        return (self._loads[server] + change) / self._weights[server]

    def hottest(self) -> str:
        """Return the server with the highest load per weight."""
        return max(
            self._loads, key=lambda name: (self.relative_load(name), name)
        )

    def coldest(self) -> str:
        """Return the server with the lowest load per weight."""
        return min(
            self._loads, key=lambda name: (self.relative_load(name), name)
        )

    def move(self, part: OwnedRange, target: str) -> None:
        """Move a part of a range to another server."""
        self.parts_by_server[part.server].remove(part)
        self._loads[part.server] -= part.load
        self._loads[target] += part.load
        # Not added to the target's parts, so that none moves twice in a
        # round.

    def _split_at_hot_keys(
        self,
        item: OwnedRange,
        hot_keys: collections.abc.Sequence[HotKey],
    ) -> list[OwnedRange]:
        """Split a range at the keys that are hot enough to move alone."""
        threshold = HOT_KEY_SHARE * self._loads[item.server]
        parts = []
        start, remaining = item.start, item.load
        for key in sorted(hot_keys):
            if not item.start <= key.position < item.end:
                continue
            if key.load <= threshold:
                continue
            if key.position > start:
                parts.append(OwnedRange(start, key.position, item.server, 0))
            parts.append(
                OwnedRange(
                    key.position, key.position + 1, item.server, key.load
                )
            )
            start, remaining = key.position + 1, remaining - key.load
        if not parts:
            return [item]
        if start < item.end:
            parts.append(OwnedRange(start, item.end, item.server, 0))
        return _distribute_load(parts, max(0.0, remaining))


def _distribute_load(parts: list[OwnedRange], load: float) -> list[OwnedRange]:
    """Distribute a load over the parts without one, by their width."""
    width = sum(part.end - part.start for part in parts if not part.load)
    return [
        part
        if part.load
        else part._replace(load=load * (part.end - part.start) / width)
        for part in parts
    ]
