"""Plans moves of ranges from hot to cold backend servers."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    import collections.abc

LEAST_GAIN = 0.02
"""Part of the mean load by which a move must lower the hottest server;
less is within the noise of the load figures."""
HOT_KEY_SHARE = 0.25
"""Part of its server's load above which a key moves alone."""


class Limits(typing.NamedTuple):
    """When and how much the planner moves; section 9 of the design page.

    Attributes
    ----------
    bound : float
        Load of the hottest server relative to the mean that is tolerated.
    settled : float
        Once it moves, it goes on until the hottest server is below this.
    rounds : int
        Rounds in a row above the bound before anything moves.
    moves : int
        Most moves within `window`.
    window : float
        Seconds that a move counts against the budget.
    return_after : float
        Seconds before a range may move back to a server it came from.
    least_load : float
        Mean load of a server, requests/s, below which nothing moves.
    """

    bound: float = 1.25
    settled: float = 1.1
    rounds: int = 3
    moves: int = 4
    window: float = 60.0
    return_after: float = 60.0
    least_load: float = 1.0


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
    """Gives the positions from start to before end to another server."""

    service: str
    start: int
    end: int
    source: str
    target: str


class MoveBudget:
    """Limits the moves of one failure domain.

    Parameters
    ----------
    limits : Limits
        How many moves in which time.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._times: collections.deque[float] = collections.deque()

    def take(self, now: float) -> bool:
        """Count a move unless the budget is spent."""
        if not self.remaining(now):
            return False
        self._times.append(now)
        return True

    def remaining(self, now: float) -> int:
        """Return how many moves are left now."""
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
        self._moved: collections.deque[tuple[float, Move]] = (
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
            Keys known to be hot; their loads are part of their ranges'.
        """
        while self._moved and self._moved[0][0] <= (
            now - self._limits.return_after
        ):
            self._moved.popleft()
        board = _Board(weights_by_server, owned, hot_keys)
        if not board.is_above(self._limits.bound, self._limits.least_load):
            self._rounds = 0
            return []
        self._rounds += 1
        if self._rounds < self._limits.rounds:
            return []
        moves: list[Move] = []
        settled, least = self._limits.settled, self._limits.least_load
        while board.is_above(settled, least) and self._budget.remaining(now):
            move = self._best_move(board)
            if move is None:
                break
            self._budget.take(now)
            self._moved.append((now, move))
            moves.append(move)
        return moves

    def _best_move(self, board: _Board) -> Move | None:
        hottest, coldest = board.hottest(), board.coldest()
        best: OwnedRange | None = None
        lowest = board.relative(hottest) - LEAST_GAIN * board.mean
        for piece in board.pieces_by_server[hottest]:
            after = max(
                board.relative(hottest, -piece.load),
                board.relative(coldest, piece.load),
            )
            if after < lowest and not self._returns(piece, coldest):
                best, lowest = piece, after
        if best is None:
            return None
        board.move(best, coldest)
        return Move(self._service, best.start, best.end, hottest, coldest)

    def _returns(self, piece: OwnedRange, target: str) -> bool:
        return any(
            move.source == target
            and move.start < piece.end
            and piece.start < move.end
            for _, move in self._moved
        )


class _Board:
    """Loads of servers and the pieces that can move, while planning."""

    def __init__(
        self,
        weights_by_server: collections.abc.Mapping[str, int],
        owned: collections.abc.Sequence[OwnedRange],
        hot_keys: collections.abc.Sequence[HotKey],
    ) -> None:
        self._weights = weights_by_server
        self._loads = dict.fromkeys(weights_by_server, 0.0)
        self.pieces_by_server: dict[str, list[OwnedRange]] = {
            name: [] for name in weights_by_server
        }
        for item in owned:
            self._loads[item.server] += item.load
        for item in owned:
            self.pieces_by_server[item.server].extend(
                self._pieces(item, hot_keys)
            )
        total = sum(weights_by_server.values())
        self.mean = sum(self._loads.values()) / total if total else 0.0

    def is_above(self, bound: float, least_load: float) -> bool:
        """Tell whether the hottest server is above a bound."""
        return (
            len(self._loads) > 1
            and self.mean >= least_load
            and self.relative(self.hottest()) > bound * self.mean
        )

    def relative(self, server: str, change: float = 0.0) -> float:
        """Return a server's load per unit of weight after a change."""
        return (self._loads[server] + change) / self._weights[server]

    def hottest(self) -> str:
        """Return the server with the highest relative load."""
        return max(self._loads, key=lambda name: (self.relative(name), name))

    def coldest(self) -> str:
        """Return the server with the lowest relative load."""
        return min(self._loads, key=lambda name: (self.relative(name), name))

    def move(self, piece: OwnedRange, target: str) -> None:
        """Give a piece to another server."""
        self.pieces_by_server[piece.server].remove(piece)
        self._loads[piece.server] -= piece.load
        self._loads[target] += piece.load
        # Left out of the target's pieces: nothing moves twice in a round.

    def _pieces(
        self,
        item: OwnedRange,
        hot_keys: collections.abc.Sequence[HotKey],
    ) -> list[OwnedRange]:
        """Split off the keys that are hot enough to move alone."""
        least = HOT_KEY_SHARE * self._loads[item.server]
        pieces = []
        start, left = item.start, item.load
        for key in sorted(hot_keys):
            if not item.start <= key.position < item.end:
                continue
            if key.load <= least:
                continue
            if key.position > start:
                pieces.append(OwnedRange(start, key.position, item.server, 0))
            pieces.append(
                OwnedRange(
                    key.position, key.position + 1, item.server, key.load
                )
            )
            start, left = key.position + 1, left - key.load
        if not pieces:
            return [item]
        if start < item.end:
            pieces.append(OwnedRange(start, item.end, item.server, 0))
        return _share_out(pieces, max(0.0, left))


def _share_out(pieces: list[OwnedRange], load: float) -> list[OwnedRange]:
    """Spread the remaining load over the pieces without one, by width."""
    width = sum(piece.end - piece.start for piece in pieces if not piece.load)
    return [
        piece
        if piece.load
        else piece._replace(load=load * (piece.end - piece.start) / width)
        for piece in pieces
    ]
