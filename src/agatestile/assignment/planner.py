"""Plans which keys change hands.

Answers two patterns of load: keys without a usable owner, and a hot
stretch of neighbouring keys that one server can't bear.
"""

from __future__ import annotations

import heapq
import typing

from agatestile.assignment import ranges

if typing.TYPE_CHECKING:
    from agatestile.assignment import key_load as heat_module

BALANCE_RATIO = 1.25
"""A server is relieved while its utilisation exceeds the mean by this."""

LEAST_UTILISATION = 0.55
"""Utilisation below which a server is not relieved: its requests hardly
wait, while those of moved keys do."""

LEAST_GAIN = 0.05
"""Part of a server's usual load below which a move is not worth while."""

NEWCOMER_SHARE = 0.6
"""Part of the mean utilisation that a server without keys gets at once."""

LEAST_MOVES = 8
MOVES_SHARE = 0.3
"""Bound on the balancing moves of one plan, as a share of the servers and at
least as a number: the keys of each are unavailable until its old owner has
finished its work, and a hot stretch needs about a third of the servers."""

RANGES_TRIED = 4
"""Hottest ranges of a server that are tried: a single key beyond what a
server bears can't be divided."""

RANGES_PER_SERVER = 12
"""Ranges that a server may hold before it takes no part of a range."""


class OwnerCandidate(typing.NamedTuple):
    """A server that may own keys.

    Attributes
    ----------
    id : str
        Identifier.
    incarnation : int
        Its start.
    capacity : float
        Requests a second that it can answer.
    accepts_keys : bool
        Whether it may get further keys.
    must_release_keys : bool
        Whether its keys have to go elsewhere.
    """

    id: str
    incarnation: int
    capacity: float
    accepts_keys: bool
    must_release_keys: bool


class Move(typing.NamedTuple):
    """Keys that get a new owner."""

    first: int
    last: int
    source: ranges.Owner
    target: str


def plan(
    key_map: ranges.RangeMap,
    candidates: dict[str, OwnerCandidate],
    heat: heat_module.KeyHeat,
    frozen: typing.Callable[[ranges.KeyRange], bool],
) -> list[Move]:
    """Return moves towards an even utilisation.

    Parameters
    ----------
    key_map : ranges.RangeMap
        Present owners.
    candidates : dict
        Servers by identifier.
    heat : key_load.KeyHeat
        Load by key.
    frozen : callable
        Tells which ranges can't be moved now.
    """
    takers = {
        name: one for name, one in candidates.items() if one.accepts_keys
    }
    if not takers:
        return []
    draft = _Draft(key_map, candidates, heat, frozen)
    moves = draft.place_orphans()
    moves += draft.welcome()
    moves += draft.balance()
    return moves


class _Draft:
    def __init__(
        self,
        key_map: ranges.RangeMap,
        candidates: dict[str, OwnerCandidate],
        heat: heat_module.KeyHeat,
        frozen: typing.Callable[[ranges.KeyRange], bool],
    ) -> None:
        self._candidates = candidates
        self._heat = heat
        self._by_server: dict[str, list[ranges.KeyRange]] = {}
        self._orphans: list[ranges.KeyRange] = []
        self._rates = dict.fromkeys(candidates, 0.0)
        self._fixed: set[tuple[int, int]] = set()
        for one in key_map.ranges:
            name = one.owner.server_id
            candidate = candidates.get(name)
            is_frozen = frozen(one)
            if is_frozen:
                self._fixed.add((one.first, one.last))
            elif candidate is None or candidate.must_release_keys:
                self._orphans.append(one)
                continue
            if candidate is not None:
                self._by_server.setdefault(name, []).append(one)
                self._rates[name] += heat.rate(one.first, one.last)
        self._takers = [one for one in candidates.values() if one.accepts_keys]
        self._most_moves = max(
            LEAST_MOVES, int(MOVES_SHARE * len(self._takers))
        )
        capacity = sum(one.capacity for one in self._takers)
        total = heat.rate(0, ranges.KEY_COUNT - 1)
        self._mean = total / max(capacity, 1e-6)

    def place_orphans(self) -> list[Move]:
        """Give keys without a usable owner to the least used servers."""
        moves = []
        for orphan in self._orphans:
            first = orphan.first
            while first <= orphan.last:
                taker = min(self._takers, key=self._utilisation)
                room = self._mean * taker.capacity - self._rates[taker.id]
                piece = max(room, 0.25 * self._mean * taker.capacity)
                last = orphan.last
                if self._heat.rate(first, last) > 1.3 * piece:
                    last = self._heat.split_point(first, last, piece)
                moves.append(self._move(orphan, first, last, taker))
                first = last + 1
        return moves

    def welcome(self) -> list[Move]:
        """Give keys to servers that have none."""
        moves: list[Move] = []
        for target in self._takers:
            if self._by_server.get(target.id) or not self._by_server:
                continue
            source = max(
                (self._candidates[name] for name in self._by_server),
                key=self._utilisation,
            )
            wanted = NEWCOMER_SHARE * self._mean * target.capacity
            wanted = min(wanted, 0.5 * self._rates[source.id])
            move = self._take_from(source, target, wanted)
            if move is not None:
                moves.append(move)
            if len(moves) >= self._most_moves:
                break
        return moves

    def balance(self) -> list[Move]:
        """Move parts of ranges from the most to the least used server."""
        moves: list[Move] = []
        sources = set(self._by_server)
        while len(moves) < self._most_moves and sources:
            source = max(
                (self._candidates[name] for name in sources),
                key=self._utilisation,
            )
            limit = max(LEAST_UTILISATION, self._mean * BALANCE_RATIO)
            if self._utilisation(source) < limit:
                break
            move = self._relieve(source)
            if move is None:
                sources.discard(source.id)
                continue
            moves.append(move)
        return moves

    def _relieve(self, source: OwnerCandidate) -> Move | None:
        targets = [one for one in self._takers if one.id != source.id]
        if not targets:
            return None
        target = min(targets, key=self._utilisation)
        surplus = self._rates[source.id] - self._mean * source.capacity
        room = self._mean * target.capacity - self._rates[target.id]
        wanted = min(surplus, room)
        # A hot source is relieved by many targets with little room each.
        usual = min(self._rates[source.id], self._mean * target.capacity)
        if wanted <= LEAST_GAIN * usual:
            return None
        return self._take_from(source, target, wanted)

    def _take_from(
        self, source: OwnerCandidate, target: OwnerCandidate, wanted: float
    ) -> Move | None:
        movable = [
            one
            for one in self._by_server[source.id]
            if (one.first, one.last) not in self._fixed
        ]
        if not movable:
            return None
        return self._take_part(movable, source, target, wanted)

    def _take_part(
        self,
        movable: list[ranges.KeyRange],
        source: OwnerCandidate,
        target: OwnerCandidate,
        wanted: float,
    ) -> Move | None:
        rate = self._heat.rate
        whole = [
            one
            for one in movable
            if 0.5 * wanted <= rate(one.first, one.last) <= 1.2 * wanted
        ]
        if whole:
            chosen = whole[0]
            return self._move(chosen, chosen.first, chosen.last, target)
        hottest = heapq.nlargest(
            RANGES_TRIED, movable, key=lambda one: rate(one.first, one.last)
        )
        for chosen in hottest:
            if rate(chosen.first, chosen.last) < wanted:
                return self._move(chosen, chosen.first, chosen.last, target)
            if len(self._by_server.get(target.id, ())) >= RANGES_PER_SERVER:
                return None
            move = self._split(chosen, target, wanted)
            if move is not None:
                return move
        return None

    def _split(
        self, chosen: ranges.KeyRange, target: OwnerCandidate, wanted: float
    ) -> Move | None:
        """Move the first part of a range if its load can be divided so."""
        rate = self._heat.rate
        last = self._heat.split_point(chosen.first, chosen.last, wanted)
        if last > chosen.first and rate(chosen.first, last) > 1.3 * wanted:
            last -= 1
        if last >= chosen.last or rate(chosen.first, last) > 1.6 * wanted:
            return None
        return self._move(chosen, chosen.first, last, target)

    def _move(
        self,
        part_of: ranges.KeyRange,
        first: int,
        last: int,
        target: OwnerCandidate,
    ) -> Move:
        moved = self._heat.rate(first, last)
        source = part_of.owner
        own = self._by_server.get(source.server_id, [])
        if part_of in own:
            own.remove(part_of)
            self._rates[source.server_id] -= moved
            if first > part_of.first:
                own.append(part_of._replace(last=first - 1))
            if last < part_of.last:
                own.append(part_of._replace(first=last + 1))
        self._rates[target.id] += moved
        # Keys that are about to move are not moved again in this plan.
        self._fixed.add((first, last))
        self._by_server.setdefault(target.id, []).append(
            ranges.KeyRange(first, last, source)
        )
        return Move(first, last, source, target.id)

    def _utilisation(self, candidate: OwnerCandidate) -> float:
        return self._rates[candidate.id] / max(candidate.capacity, 1e-6)
