"""Compares placement methods on the same seeded load.

Usage: python -m bench.placement [--seeds N] [--seconds S]

Simulates steps of a second, without daemons or a network. Planners see
decayed loads with a lag; the printed figures are of the true loads.
"""

from __future__ import annotations

import argparse
import bisect
import collections
import random
import statistics
import typing

from agatestile.placement import planner
from agatestile.placement import rendezvous
from agatestile.placement import space_saving
from agatestile.state import ranges
from bench import placement_load
from bench import placement_methods

SERVERS = 17
DOMAINS = 3
RANGES_PER_SERVER = 8
ROUND_INTERVAL_SECONDS = 10
LAG_SECONDS = 2
HALF_LIFE_SECONDS = 10.0
SETTLE_SECONDS = 60
MOVE_OUTAGE_SECONDS = 0.2
SKETCHED_KEYS = 200
REPORTED_KEYS = 16

DECAY = 0.5 ** (1.0 / HALF_LIFE_SECONDS)


class Outcome(typing.NamedTuple):
    """Figures of one run.

    Attributes
    ----------
    peak : float
        Highest load of a server by its weight, relative to the mean,
        averaged over time.
    peak_high : float
        99th percentile of this ratio over time.
    domain : float
        Load of the hottest failure domain relative to the mean, averaged
        over time. A planner sees only its own domain and can't lower it.
    moves : float
        Moves a minute.
    unavailable : float
        Seconds a minute in which ranges were unavailable, summed over
        ranges.
    affected : float
        Requests for an unavailable range, per million.
    ranges : float
        Number of ranges at the end.
    """

    peak: float
    peak_high: float
    domain: float
    moves: float
    unavailable: float
    affected: float
    ranges: float


class Simulation:
    """Run of one method under one load.

    Parameters
    ----------
    method : placement_methods.Method
        Method that places the ranges.
    servers : list of rendezvous.Candidate
        Servers of one service.
    shape : placement_load.Shape
        Shape of the load.
    seed : int
        Seed of the load and of the noise with which it is observed.
    """

    def __init__(
        self,
        method: placement_methods.Method,
        servers: list[rendezvous.Candidate],
        shape: placement_load.Shape,
        seed: int,
    ) -> None:
        self._load = placement_load.HotLoad(shape, seed)
        self._noise_generator = random.Random(seed + 1)
        self._rate = shape.rate
        self._weights = {server.name: server.weight for server in servers}
        self._domains = {server.name: server.domain for server in servers}
        names = sorted({server.domain for server in servers})
        self._planners = {name: method.rounds() for name in names}
        self._sketches = {
            name: space_saving.SpaceSaving(2 * REPORTED_KEYS) for name in names
        }
        count = RANGES_PER_SERVER * len(servers)
        width = ranges.END // count
        starts = [index * width for index in range(count)]
        owners = method.place([f"{seed}/{start}" for start in starts], servers)
        self._owned_ranges = [
            planner.OwnedRange(start, end, owner, self._load_of(start, end))
            for start, end, owner in zip(
                starts, [*starts[1:], ranges.END], owners
            )
        ]
        self._reports: collections.deque[dict[tuple[int, int], float]] = (
            collections.deque(maxlen=LAG_SECONDS + 1)
        )

    def run(self, seconds: int) -> Outcome:
        """Simulate some seconds and return the figures."""
        peaks = []
        domains = []
        moves = 0
        affected = 0.0
        for now in range(seconds):
            self._load.advance(float(now))
            if now >= SETTLE_SECONDS:
                loads = self._loads()
                peaks.append(self._peak(loads))
                domains.append(self._domain_peak(loads))
            self._observe()
            if now % ROUND_INTERVAL_SECONDS or not now:
                continue
            planned = self._plan(float(now))
            if now >= SETTLE_SECONDS:
                moves += len(planned)
                affected += MOVE_OUTAGE_SECONDS * sum(
                    self._load_of(move.start, move.end) for move in planned
                )
        measured = seconds - SETTLE_SECONDS
        moves_a_minute = 60.0 * moves / measured
        return Outcome(
            statistics.fmean(peaks),
            statistics.quantiles(peaks, n=100)[98],
            statistics.fmean(domains),
            moves_a_minute,
            moves_a_minute * MOVE_OUTAGE_SECONDS,
            1e6 * affected / (self._rate * measured),
            float(len(self._owned_ranges)),
        )

    def _load_of(self, start: int, end: int) -> float:
        return self._load.of_range(start, end)

    def _loads(self) -> dict[str, float]:
        loads = dict.fromkeys(self._weights, 0.0)
        for item in self._owned_ranges:
            loads[item.server] += self._load_of(item.start, item.end)
        return loads

    def _peak(self, loads: dict[str, float]) -> float:
        mean = sum(loads.values()) / sum(self._weights.values())
        return max(loads[n] / w for n, w in self._weights.items()) / mean

    def _domain_peak(self, loads: dict[str, float]) -> float:
        mean = sum(loads.values()) / sum(self._weights.values())
        highest = 0.0
        for domain in self._planners:
            names = [n for n, at in self._domains.items() if at == domain]
            load = sum(loads[name] for name in names)
            weight = sum(self._weights[name] for name in names)
            highest = max(highest, load / weight)
        return highest / mean

    def _observe(self) -> None:
        """Count the requests of a second with decay, as the gates do."""
        for index, item in enumerate(self._owned_ranges):
            counted = self._count(self._load_of(item.start, item.end))
            decayed = DECAY * item.load + (1 - DECAY) * counted
            self._owned_ranges[index] = item._replace(load=decayed)
        self._reports.append(
            {(item.start, item.end): item.load for item in self._owned_ranges}
        )
        for sketch in self._sketches.values():
            sketch.decay(DECAY)
        starts = [item.start for item in self._owned_ranges]
        for position, load in self._load.hottest(SKETCHED_KEYS):
            owner = self._owner(starts, position)
            self._sketches[self._domains[owner]].add(
                position, self._count(load) * (1 - DECAY)
            )

    def _owner(self, starts: list[int], position: int) -> str:
        index = bisect.bisect_right(starts, position) - 1
        return self._owned_ranges[index].server

    def _count(self, load: float) -> float:
        """Draw a Poisson count from its normal approximation."""
        return max(0.0, self._noise_generator.gauss(load, load**0.5))

    def _plan(self, now: float) -> list[planner.Move]:
        planned: list[planner.Move] = []
        reported = self._reports[0]
        for domain, domain_planner in self._planners.items():
            weights = {
                name: weight
                for name, weight in self._weights.items()
                if self._domains[name] == domain
            }
            owned = [
                item._replace(
                    load=reported.get((item.start, item.end), item.load)
                )
                for item in self._owned_ranges
                if item.server in weights
            ]
            hot = [
                planner.HotKey(estimate.item, estimate.weight)
                for estimate in self._sketches[domain].top(REPORTED_KEYS)
            ]
            planned += domain_planner.plan(now, weights, owned, hot)
        for move in planned:
            self._apply_move(move)
        return planned

    def _apply_move(self, move: planner.Move) -> None:
        remaining: list[planner.OwnedRange] = []
        for item in self._owned_ranges:
            if move.end <= item.start or item.end <= move.start:
                remaining.append(item)
                continue
            for start, end, owner in (
                (item.start, max(item.start, move.start), item.server),
                (move.start, move.end, move.target),
                (min(item.end, move.end), item.end, item.server),
            ):
                if start < end:
                    load = self._load_of(start, end)
                    remaining.append(
                        planner.OwnedRange(start, end, owner, load)
                    )
        self._owned_ranges = remaining


def make_servers(weights: str) -> list[rendezvous.Candidate]:
    """Return the servers of a service in three failure domains."""
    return [
        rendezvous.Candidate(
            f"server-{number:02d}",
            f"domain-{number % DOMAINS}",
            2 if weights == "mixed" and number % 4 == 0 else 1,
        )
        for number in range(SERVERS)
    ]


def _row(name: str, outcomes: list[Outcome]) -> str:
    cells = []
    for field, digits in zip(Outcome._fields, (2, 2, 2, 1, 2, 0, 0)):
        values = [getattr(outcome, field) for outcome in outcomes]
        cells.append(
            f"{statistics.median(values):.{digits}f}"
            f" ({min(values):.{digits}f}-{max(values):.{digits}f})"
        )
    return f"| {name} | " + " | ".join(cells) + " |"


def main() -> None:
    """Run all methods with all seeds and print one table per scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=int, default=900)
    arguments = parser.parse_args()
    shape = placement_load.Shape()
    top = placement_load.HotLoad(shape, 1).hottest(1)[0][1]
    print(
        f"{SERVERS} servers in {DOMAINS} failure domains, {shape}; hottest"
        f" key {top * SERVERS / shape.rate:.2f} of a server's mean; seeds 1"
        f" to {arguments.seeds}, {arguments.seconds} s each;"
        f" {MOVE_OUTAGE_SECONDS} s"
        " unavailable per move; median (lowest-highest)"
    )
    for weights in ("equal", "mixed"):
        servers = make_servers(weights)
        print(f"\nweights: {weights}\n")
        print(
            "| method | peak/mean | p99 of peak/mean |"
            " hottest domain/mean | moves/min |"
            " range-seconds unavailable/min | affected requests, ppm |"
            " ranges at the end |"
        )
        print("|---|---|---|---|---|---|---|---|")
        for method in placement_methods.METHODS:
            outcomes = [
                Simulation(method, servers, shape, seed).run(arguments.seconds)
                for seed in range(1, arguments.seeds + 1)
            ]
            print(_row(method.name, outcomes), flush=True)


if __name__ == "__main__":
    main()
