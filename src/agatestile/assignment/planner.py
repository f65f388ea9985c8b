"""Planning of key moves between servers.

Two situations are handled: keys without a usable owner, and a hot range of
adjacent keys whose load exceeds the capacity of one server.
"""

from __future__ import annotations

import heapq
import math
import typing

from agatestile.assignment import key_load
from agatestile.assignment import ranges

OVERLOAD_RATIO = 1.25
"""Ratio of the utilisation of a server to the mean above which it is
offloaded."""

MIN_UTILISATION = 0.55
"""Utilisation below which a server is not offloaded: its requests hardly wait,
whereas those for moved keys do."""

SIGNIFICANT_DEVIATIONS = 3.0
"""Standard deviations by which the rate of a server has to exceed its part:
with few requests per server, the rates of some always differ by chance."""

FULL_UTILISATION = 0.9
"""Utilisation from which requests are refused, so that waiting for more
certainty costs more than a move that turns out to be needless."""

MIN_PART_SHARE = 0.5
"""Fraction of the wanted rate below which a part of a range is a poor move:
the rest of the load is in the keys next to it."""

MIN_GAIN = 0.05
"""Fraction of the usual load of a server below which a move is not worth its
cost."""

EMPTY_SERVER_SHARE = 0.6
"""Fraction of the mean utilisation that a server without keys gets at once."""

MIN_MOVE_LIMIT = 8
MOVE_LIMIT_SHARE = 0.3
"""Limit of rebalancing moves in one plan: a share of the servers, but at least
a fixed number. The keys of a move are unavailable until the previous owner has
finished its requests, and a hot range needs about a third of the servers."""

HOTTEST_RANGES = 4
"""Number of the hottest ranges of a server that are tried. A single key whose
load exceeds the capacity of a server cannot be split."""

MAX_RANGES_PER_SERVER = 12
"""Number of ranges from which a server gets no further part of a range."""


class OwnerCandidate(typing.NamedTuple):
    """A server that may own keys.

    Attributes
    ----------
    id : str
        Identifier of the server.
    incarnation : int
        Incarnation of the server.
    capacity : float
        Requests per second that it can answer.
    accepts_keys : bool
        Whether it may get more keys.
    must_release_keys : bool
        Whether its keys have to be moved to other servers.
    """

    id: str
    incarnation: int
    capacity: float
    accepts_keys: bool
    must_release_keys: bool


class Move(typing.NamedTuple):
    """A range of keys that gets a new owner, bounds inclusive."""

    first: int
    last: int
    source: ranges.Owner
    target: str


def plan(
    key_map: ranges.RangeMap,
    candidates: dict[str, OwnerCandidate],
    load: key_load.KeyLoad,
    frozen: typing.Callable[[ranges.KeyRange], bool],
) -> list[Move]:
    """Return moves that even out the utilisation of the servers.

    Parameters
    ----------
    key_map : ranges.RangeMap
        Current owners.
    candidates : dict
        Candidates by server identifier.
    load : key_load.KeyLoad
        Load by key.
    frozen : callable
        Returns whether a range cannot be moved at present.
    """
    receivers = {
        name: candidate
        for name, candidate in candidates.items()
        if candidate.accepts_keys
    }
    if not receivers:
        return []
    builder = _PlanBuilder(key_map, candidates, load, frozen)
    moves = builder.assign_orphans()
    moves += builder.fill_empty_servers()
    moves += builder.rebalance()
    return moves


class _PlanBuilder:
    def __init__(
        self,
        key_map: ranges.RangeMap,
        candidates: dict[str, OwnerCandidate],
        load: key_load.KeyLoad,
        frozen: typing.Callable[[ranges.KeyRange], bool],
    ) -> None:
        self._candidates = candidates
        self._load = load
        self._ranges_by_server: dict[str, list[ranges.KeyRange]] = {}
        self._orphans: list[ranges.KeyRange] = []
        self._rate_by_server = dict.fromkeys(candidates, 0.0)
        self._usual_rate_by_server = dict.fromkeys(candidates, 0.0)
        self._recent_rate_by_server = dict.fromkeys(candidates, 0.0)
        self._immovable: set[tuple[int, int]] = set()
        for key_range in key_map.ranges:
            name = key_range.owner.server_id
            candidate = candidates.get(name)
            is_frozen = frozen(key_range)
            if is_frozen:
                self._immovable.add((key_range.first, key_range.last))
            elif candidate is None or _must_release(candidate, key_range):
                self._orphans.append(key_range)
                continue
            if candidate is not None:
                self._ranges_by_server.setdefault(name, []).append(key_range)
                self._add_rates(name, key_range.first, key_range.last, 1.0)
        self._receivers = [
            candidate
            for candidate in candidates.values()
            if candidate.accepts_keys
        ]
        self._move_limit = max(
            MIN_MOVE_LIMIT, int(MOVE_LIMIT_SHARE * len(self._receivers))
        )
        capacity = sum(receiver.capacity for receiver in self._receivers)
        total_rate = load.rate(0, ranges.KEY_COUNT - 1)
        self._mean_utilisation = total_rate / max(capacity, 1e-6)
        usual_rate = load.usual_rate(0, ranges.KEY_COUNT - 1)
        self._usual_mean_utilisation = usual_rate / max(capacity, 1e-6)
        recent_rate = load.recent_rate(0, ranges.KEY_COUNT - 1)
        self._recent_mean_utilisation = recent_rate / max(capacity, 1e-6)

    def _add_rates(
        self, server_id: str, first: int, last: int, sign: float
    ) -> None:
        self._rate_by_server[server_id] += sign * self._load.rate(first, last)
        self._usual_rate_by_server[server_id] += sign * self._load.usual_rate(
            first, last
        )
        self._recent_rate_by_server[server_id] += (
            sign * self._load.recent_rate(first, last)
        )

    def assign_orphans(self) -> list[Move]:
        """Assign keys without a usable owner to the least utilised servers."""
        moves = []
        for orphan in self._orphans:
            first = orphan.first
            while first <= orphan.last:
                receiver = min(self._receivers, key=self._utilisation)
                spare_rate = (
                    self._mean_utilisation * receiver.capacity
                    - self._rate_by_server[receiver.id]
                )
                piece_rate = max(
                    spare_rate,
                    0.25 * self._mean_utilisation * receiver.capacity,
                )
                last = orphan.last
                if self._load.rate(first, last) > 1.3 * piece_rate:
                    last = self._load.split_point(first, last, piece_rate)
                moves.append(self._move(orphan, first, last, receiver))
                first = last + 1
        return moves

    def fill_empty_servers(self) -> list[Move]:
        """Move keys to servers that have none."""
        moves: list[Move] = []
        for target in self._receivers:
            if (
                self._ranges_by_server.get(target.id)
                or not self._ranges_by_server
            ):
                continue
            source = max(
                (self._candidates[name] for name in self._ranges_by_server),
                key=self._utilisation,
            )
            wanted_rate = (
                EMPTY_SERVER_SHARE * self._mean_utilisation * target.capacity
            )
            wanted_rate = min(
                wanted_rate, 0.5 * self._rate_by_server[source.id]
            )
            move = self._move_part_of(source, target, wanted_rate)
            if move is not None:
                moves.append(move)
            if len(moves) >= self._move_limit:
                break
        return moves

    def rebalance(self) -> list[Move]:
        """Move keys from the most to the least utilised servers."""
        moves: list[Move] = []
        sources = {
            name
            for name in self._ranges_by_server
            if self._is_overloaded(self._candidates[name])
        }
        while len(moves) < self._move_limit and sources:
            source = max(
                (self._candidates[name] for name in sources),
                key=self._utilisation,
            )
            move = None
            if self._is_overloaded(source):
                move = self._offload(source)
            if move is None:
                sources.discard(source.id)
                continue
            moves.append(move)
            if self._is_overloaded(self._candidates[move.target]):
                sources.add(move.target)
        return moves

    def _is_overloaded(self, source: OwnerCandidate) -> bool:
        """Return whether a server has more than its part.

        That has to be certain, unless the server can't bear it although
        others can. A range that becomes hot shows in the recent requests, a
        part that is a little too large only in those of a longer time.
        """
        name, capacity = source.id, source.capacity
        mean = self._recent_mean_utilisation
        if (
            mean < FULL_UTILISATION
            and self._recent_rate_by_server[name]
            > max(FULL_UTILISATION, mean * OVERLOAD_RATIO) * capacity
        ):
            return True
        return _exceeds(
            self._recent_rate_by_server[name],
            capacity,
            self._recent_mean_utilisation,
            key_load.RECENT_VARIANCE,
        ) or _exceeds(
            self._usual_rate_by_server[name],
            capacity,
            self._usual_mean_utilisation,
            key_load.USUAL_VARIANCE,
        )

    def _offload(self, source: OwnerCandidate) -> Move | None:
        targets = [
            receiver
            for receiver in self._receivers
            if receiver.id != source.id
        ]
        if not targets:
            return None
        target = min(targets, key=self._utilisation)
        surplus = (
            self._rate_by_server[source.id]
            - self._mean_utilisation * source.capacity
        )
        spare_rate = (
            self._mean_utilisation * target.capacity
            - self._rate_by_server[target.id]
        )
        wanted_rate = min(surplus, spare_rate)
        # A hot source is offloaded to many targets with little spare capacity.
        usual = min(
            self._rate_by_server[source.id],
            self._mean_utilisation * target.capacity,
        )
        if wanted_rate <= MIN_GAIN * usual:
            return None
        return self._move_part_of(source, target, wanted_rate)

    def _move_part_of(
        self,
        source: OwnerCandidate,
        target: OwnerCandidate,
        wanted_rate: float,
    ) -> Move | None:
        movable = [
            key_range
            for key_range in self._ranges_by_server[source.id]
            if (key_range.first, key_range.last) not in self._immovable
        ]
        if not movable:
            return None
        return self._move_one_of(movable, source, target, wanted_rate)

    def _move_one_of(
        self,
        movable: list[ranges.KeyRange],
        source: OwnerCandidate,
        target: OwnerCandidate,
        wanted_rate: float,
    ) -> Move | None:
        rate = self._load.rate
        whole = [
            key_range
            for key_range in movable
            if 0.5 * wanted_rate
            <= rate(key_range.first, key_range.last)
            <= 1.2 * wanted_rate
        ]
        if whole:
            chosen = whole[0]
            return self._move(chosen, chosen.first, chosen.last, target)
        hottest = heapq.nlargest(
            HOTTEST_RANGES,
            movable,
            key=lambda key_range: rate(key_range.first, key_range.last),
        )
        for chosen in hottest:
            if rate(chosen.first, chosen.last) < wanted_rate:
                return self._move(chosen, chosen.first, chosen.last, target)
            if (
                len(self._ranges_by_server.get(target.id, ()))
                >= MAX_RANGES_PER_SERVER
            ):
                return None
            move = self._split(chosen, target, wanted_rate)
            if move is not None:
                return move
        return None

    def _split(
        self,
        chosen: ranges.KeyRange,
        target: OwnerCandidate,
        wanted_rate: float,
    ) -> Move | None:
        """Move a part of a range, unless its load cannot be split.

        It is the first part, or the last one if the first is next to a key
        with more requests than wanted. A key with more requests at both ends
        is moved alone, if that leaves the target less busy than the source.
        """
        rate = self._load.rate
        first_part, last_part = self._parts(chosen, wanted_rate)
        parts = [
            part
            for part in (first_part, last_part)
            if part is not None and rate(*part) <= 1.6 * wanted_rate
        ]
        if not parts:
            return self._isolate_key(chosen, target)
        part = max(parts, key=lambda part: min(rate(*part), wanted_rate))
        if rate(*part) < MIN_PART_SHARE * wanted_rate:
            isolated = self._isolate_key(chosen, target)
            if isolated is not None:
                return isolated
        return self._move(chosen, *part, target)

    def _parts(
        self, chosen: ranges.KeyRange, wanted_rate: float
    ) -> tuple[tuple[int, int] | None, tuple[int, int] | None]:
        """Return the first and the last part of a range that have a rate."""
        rate = self._load.rate
        first, last = chosen.first, chosen.last
        end = self._load.split_point(first, last, wanted_rate)
        if end > first and rate(first, end) > 1.3 * wanted_rate:
            end -= 1
        # The key after which the rest has the rate.
        kept_rate = rate(first, last) - wanted_rate
        start = self._load.split_point(first, last, kept_rate) + 1
        if start <= last and rate(start, last) < MIN_PART_SHARE * wanted_rate:
            start -= 1
        return (
            (first, end) if end < last else None,
            (start, last) if first < start <= last else None,
        )

    def _isolate_key(
        self, chosen: ranges.KeyRange, target: OwnerCandidate
    ) -> Move | None:
        """Move the busier key at the ends of a range to a less busy server."""
        if chosen.first == chosen.last:
            return None
        key = max(
            (chosen.first, chosen.last),
            key=lambda key: self._load.rate(key, key),
        )
        key_rate = self._load.rate(key, key)
        target_rate = self._rate_by_server[target.id] + key_rate
        source = self._candidates[chosen.owner.server_id]
        relief = self._utilisation(source) - target_rate / max(
            target.capacity, 1e-6
        )
        if relief < MIN_UTILISATION:
            return None
        return self._move(chosen, key, key, target)

    def _move(
        self,
        source_range: ranges.KeyRange,
        first: int,
        last: int,
        target: OwnerCandidate,
    ) -> Move:
        source = source_range.owner
        source_ranges = self._ranges_by_server.get(source.server_id, [])
        if source_range in source_ranges:
            source_ranges.remove(source_range)
            self._add_rates(source.server_id, first, last, -1.0)
            if first > source_range.first:
                source_ranges.append(source_range._replace(last=first - 1))
            if last < source_range.last:
                source_ranges.append(source_range._replace(first=last + 1))
        self._add_rates(target.id, first, last, 1.0)
        # A range is moved only once in a plan.
        self._immovable.add((first, last))
        self._ranges_by_server.setdefault(target.id, []).append(
            ranges.KeyRange(first, last, source)
        )
        return Move(first, last, source, target.id)

    def _utilisation(self, candidate: OwnerCandidate) -> float:
        return self._rate_by_server[candidate.id] / max(
            candidate.capacity, 1e-6
        )


def _must_release(
    candidate: OwnerCandidate, key_range: ranges.KeyRange
) -> bool:
    """Return whether a server has to give a range up, or lost it.

    A later incarnation of its owner holds no keys.
    """
    has_restarted = candidate.incarnation > key_range.owner.incarnation
    return candidate.must_release_keys or has_restarted


def _exceeds(
    rate: float, capacity: float, mean_utilisation: float, variance: float
) -> bool:
    """Return whether a rate exceeds the mean by more than chance.

    Parameters
    ----------
    rate, capacity : float
        Estimated and possible requests per second of a server.
    mean_utilisation : float
        Utilisation of all servers together.
    variance : float
        Variance of the estimate relative to the rate, 1/s.
    """
    limit = max(MIN_UTILISATION, mean_utilisation * OVERLOAD_RATIO)
    if rate < limit * max(capacity, 1e-6):
        return False
    part = mean_utilisation * capacity
    deviation = math.sqrt(variance * max(part, 0.0))
    return rate - part > SIGNIFICANT_DEVIATIONS * deviation
