"""Model of one service behind several hosts, for comparing choices.

Backend servers have slots, a queue, their own speed and a machine that is
slow for moments; hosts see a server's load only with their own answers. Runs
on simulated time:

    python -m bench.service_model --seeds 20
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
import statistics
import typing

import click

from agatestile.balancing import choice
from agatestile.balancing import load

LATENCY_SECONDS = 0.002
"""Time of a message between a host and a server."""


@dataclasses.dataclass(frozen=True)
class Shape:
    """A service and its load.

    Attributes
    ----------
    hosts, servers, slots : int
        How many there are.
    work : float
        Mean time of a request, seconds.
    rate : float
        Requests a second of all hosts.
    objective : float
        Time within which an answer counts, seconds.
    seconds : float
        Length of a run.
    """

    hosts: int = 25
    servers: int = 48
    slots: int = 2
    work: float = 0.16
    rate: float = 300.0
    objective: float = 0.667
    seconds: float = 20.0


SHAPES_BY_NAME = {
    "small": Shape(5, 12, 2, 0.16, 60.0, 0.5),
    "grown": Shape(),
    "fast": Shape(25, 9, 2, 0.048, 180.0, 0.36),
}

SPEEDS = (0.5, 1.0, 1.0, 1.5)
QUEUE = 8
NOISE_SHARE = 0.2
NOISE_FACTOR = 3.0
NOISE_SECONDS = 0.4


class Result(typing.NamedTuple):
    """Outcome of a run: share in time and mean time of answers, seconds."""

    in_time: float
    mean: float
    shed: float


Policy = typing.Callable[
    [list[choice.Candidate], float, random.Random], choice.Candidate | None
]


def in_turn() -> Policy:
    """Return a policy that serves in turn, from a random start."""
    turns: dict[int, int] = {}

    def pick(
        candidates: list[choice.Candidate],
        now: float,
        generator: random.Random,
    ) -> choice.Candidate:
        start = turns.setdefault(
            id(candidates), generator.randrange(len(candidates))
        )
        turns[id(candidates)] = start + 1
        return candidates[start % len(candidates)]

    return pick


def least_in_flight() -> Policy:
    """Return a policy that counts this host's own requests only."""

    def pick(
        candidates: list[choice.Candidate],
        now: float,
        generator: random.Random,
    ) -> choice.Candidate:
        return min(
            candidates,
            key=lambda one: (one.load.in_flight, generator.random()),
        )

    return pick


POLICIES_BY_NAME: dict[str, typing.Callable[[], Policy]] = {
    "in turn": in_turn,
    "least in flight": least_in_flight,
    "expected time": lambda: choice.choose,
}


class _Server:
    def __init__(self, shape: Shape, speed: float) -> None:
        self.slots = shape.slots
        self.speed = speed
        self.running = 0
        self.queue: list[tuple[float, int, float]] = []
        self.slowness = 1.0


class Model:
    """One run.

    Parameters
    ----------
    shape : Shape
        The service.
    seed : int
        Of all randomness.
    policy : callable
        Chooses a server among candidates.
    """

    def __init__(self, shape: Shape, seed: int, policy: Policy) -> None:
        self._shape = shape
        self._policy = policy
        self._random = random.Random(seed)
        self._servers = [
            _Server(shape, SPEEDS[place % len(SPEEDS)])
            for place in range(shape.servers)
        ]
        self._loads = [
            [load.ServerLoad(shape.slots, shape.work) for _ in self._servers]
            for _ in range(shape.hosts)
        ]
        self._candidates = [
            [
                choice.Candidate(str(place), known, 0.0)
                for place, known in enumerate(loads)
            ]
            for loads in self._loads
        ]
        self._events: list[tuple[float, int, typing.Any]] = []
        self._numbers = itertools.count()
        self._times: list[float] = []
        self._sent = 0
        self._shed = 0

    def run(self) -> Result:
        """Play the load and return its outcome."""
        self._add(0.0, self._arrive)
        self._add(0.0, self._change_noise)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        objective = self._shape.objective
        in_time = sum(1 for time in self._times if time <= objective)
        return Result(
            in_time / self._sent,
            statistics.mean(self._times),
            self._shed / self._sent,
        )

    def _add(self, time: float, action: typing.Any) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _arrive(self, now: float) -> None:
        if now > self._shape.seconds:
            return
        pause = self._random.expovariate(self._shape.rate)
        self._add(now + pause, self._arrive)
        # Balancers spread callers unevenly over hosts.
        host = int(self._shape.hosts * self._random.random() ** 1.2)
        chosen = self._policy(self._candidates[host], now, self._random)
        self._sent += 1
        if chosen is None:
            self._shed += 1
            return
        place = int(chosen.id)
        wait = chosen.load.expected_wait(now)
        chosen.load.on_sent(now)

        def reach(reached: float) -> None:
            self._reach(reached, host, place, now, wait)

        self._add(now + LATENCY_SECONDS, reach)

    def _reach(
        self, now: float, host: int, place: int, sent: float, wait: float
    ) -> None:
        server = self._servers[place]
        if server.running >= server.slots and len(server.queue) >= QUEUE:
            self._shed += 1
            self._answer(now, host, place, sent, wait, False)
            return
        if server.running < server.slots:
            self._start(now, host, place, sent, wait)
            return
        server.queue.append((sent, host, wait))

    def _start(
        self, now: float, host: int, place: int, sent: float, wait: float
    ) -> None:
        server = self._servers[place]
        server.running += 1
        sigma = 0.5
        work = self._random.lognormvariate(-0.5 * sigma * sigma, sigma)
        work *= self._shape.work * server.slowness / server.speed

        def end(ended: float) -> None:
            server.running -= 1
            if server.queue:
                first = server.queue.pop(0)
                self._start(ended, first[1], place, first[0], first[2])
            self._answer(ended, host, place, sent, wait, True)

        self._add(now + work, end)

    def _answer(
        self,
        now: float,
        host: int,
        place: int,
        sent: float,
        wait: float,
        ran: bool,
    ) -> None:
        server = self._servers[place]
        report = load.LoadReport(
            server.running, len(server.queue), server.slots, server.slowness
        )

        def arrive(arrived: float) -> None:
            known = self._loads[host][place]
            known.on_done()
            if not ran:
                known.on_report(arrived, report)
                known.on_failure()
                return
            known.on_response(arrived, arrived - sent, wait, report)
            self._times.append(arrived - sent)

        self._add(now + LATENCY_SECONDS, arrive)

    def _change_noise(self, now: float) -> None:
        if now > self._shape.seconds:
            return
        for server in self._servers:
            is_slow = self._random.random() < NOISE_SHARE
            server.slowness = NOISE_FACTOR if is_slow else 1.0
        self._add(now + NOISE_SECONDS, self._change_noise)


def compare(shape: Shape, seeds: typing.Iterable[int]) -> dict[str, Result]:
    """Return the mean outcome of each policy on the same seeds."""
    outcomes: dict[str, Result] = {}
    seeds = list(seeds)
    for name, make in POLICIES_BY_NAME.items():
        runs = [Model(shape, seed, make()).run() for seed in seeds]
        outcomes[name] = Result(
            *(statistics.mean(column) for column in zip(*runs))
        )
    return outcomes


@click.command()
@click.option("--seeds", default=5, help="Number of seeds.")
def main(seeds: int) -> None:
    """Compare choices on the shapes of this module."""
    for name, shape in SHAPES_BY_NAME.items():
        for policy, result in compare(shape, range(seeds)).items():
            spread = math.sqrt(result.in_time * (1 - result.in_time))
            click.echo(
                f"{name:6} {policy:16} in time {result.in_time:.3f} "
                f"(deviation of one request {spread:.2f}), "
                f"mean {result.mean * 1000:.0f} ms, shed {result.shed:.3f}"
            )


if __name__ == "__main__":
    main()
