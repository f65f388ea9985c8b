"""Model of a service behind several hosts, to compare choice policies.

Backend servers have slots, a queue, their own speed and moments in which
they are slow. Hosts learn the load of a server only from the responses to
their own requests. The model runs in simulated time:

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
"""Duration of a message between a host and a server."""


@dataclasses.dataclass(frozen=True)
class Shape:
    """A service and its load.

    Attributes
    ----------
    hosts, servers, slots : int
        Numbers of hosts, of servers and of slots of each server.
    work : float
        Mean execution time of a request, seconds.
    rate : float
        Requests a second over all hosts.
    objective : float
        Latency within which a response is in time, seconds.
    seconds : float
        Duration of a run.
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
QUEUE_LIMIT = 8
SLOW_SHARE = 0.2
SLOW_FACTOR = 3.0
SLOW_SECONDS = 0.4


class Result(typing.NamedTuple):
    """Outcome of a run.

    Attributes
    ----------
    in_time : float
        Share of requests whose response was in time.
    mean : float
        Mean latency of responses, seconds.
    shed : float
        Share of requests that were shed.
    """

    in_time: float
    mean: float
    shed: float


Policy = typing.Callable[
    [list[choice.Candidate], float, random.Random], choice.Candidate | None
]


def round_robin() -> Policy:
    """Return a policy that takes servers in turn, from a random start."""
    turns: dict[int, int] = {}

    def choose_server(
        candidates: list[choice.Candidate],
        now: float,
        generator: random.Random,
    ) -> choice.Candidate:
        start = turns.setdefault(
            id(candidates), generator.randrange(len(candidates))
        )
        turns[id(candidates)] = start + 1
        return candidates[start % len(candidates)]

    return choose_server


def least_in_flight() -> Policy:
    """Return a policy that takes the server with fewest requests in flight.

    It counts only the requests of its own host.
    """

    def choose_server(
        candidates: list[choice.Candidate],
        now: float,
        generator: random.Random,
    ) -> choice.Candidate:
        return min(
            candidates,
            key=lambda candidate: (
                candidate.load.in_flight,
                generator.random(),
            ),
        )

    return choose_server


POLICIES_BY_NAME: dict[str, typing.Callable[[], Policy]] = {
    "in turn": round_robin,
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
    """One run of the model.

    Parameters
    ----------
    shape : Shape
        The service and its load.
    seed : int
        Seed of all random draws.
    policy : callable
        Function that chooses a server among candidates.
    """

    def __init__(self, shape: Shape, seed: int, policy: Policy) -> None:
        self._shape = shape
        self._policy = policy
        self._random = random.Random(seed)
        self._servers = [
            _Server(shape, SPEEDS[index % len(SPEEDS)])
            for index in range(shape.servers)
        ]
        self._loads = [
            [load.ServerLoad(shape.slots, shape.work) for _ in self._servers]
            for _ in range(shape.hosts)
        ]
        self._candidates = [
            [
                choice.Candidate(str(index), server_load, 0.0)
                for index, server_load in enumerate(loads)
            ]
            for loads in self._loads
        ]
        self._events: list[tuple[float, int, typing.Any]] = []
        self._sequence = itertools.count()
        self._latencies: list[float] = []
        self._sent_count = 0
        self._shed_count = 0

    def run(self) -> Result:
        """Run the load and return its outcome."""
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._change_slowness)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        objective = self._shape.objective
        in_time = sum(1 for time in self._latencies if time <= objective)
        return Result(
            in_time / self._sent_count,
            statistics.mean(self._latencies),
            self._shed_count / self._sent_count,
        )

    def _schedule(self, time: float, action: typing.Any) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def _arrive(self, now: float) -> None:
        if now > self._shape.seconds:
            return
        interval = self._random.expovariate(self._shape.rate)
        self._schedule(now + interval, self._arrive)
        # Balancers distribute callers unevenly over hosts.
        host = int(self._shape.hosts * self._random.random() ** 1.2)
        chosen = self._policy(self._candidates[host], now, self._random)
        self._sent_count += 1
        if chosen is None:
            self._shed_count += 1
            return
        index = int(chosen.id)
        expected_wait = chosen.load.expected_wait(now)
        chosen.load.on_sent(now)

        def deliver(arrived: float) -> None:
            self._on_arrival(arrived, host, index, now, expected_wait)

        self._schedule(now + LATENCY_SECONDS, deliver)

    def _on_arrival(
        self,
        now: float,
        host: int,
        index: int,
        sent: float,
        expected_wait: float,
    ) -> None:
        server = self._servers[index]
        if server.running >= server.slots and len(server.queue) >= QUEUE_LIMIT:
            self._shed_count += 1
            self._answer(now, host, index, sent, expected_wait, False)
            return
        if server.running < server.slots:
            self._start(now, host, index, sent, expected_wait)
            return
        server.queue.append((sent, host, expected_wait))

    def _start(
        self,
        now: float,
        host: int,
        index: int,
        sent: float,
        expected_wait: float,
    ) -> None:
        server = self._servers[index]
        server.running += 1
        sigma = 0.5
        work = self._random.lognormvariate(-0.5 * sigma * sigma, sigma)
        work *= self._shape.work * server.slowness / server.speed

        def finish(finished: float) -> None:
            server.running -= 1
            if server.queue:
                first = server.queue.pop(0)
                self._start(finished, first[1], index, first[0], first[2])
            self._answer(finished, host, index, sent, expected_wait, True)

        self._schedule(now + work, finish)

    def _answer(
        self,
        now: float,
        host: int,
        index: int,
        sent: float,
        expected_wait: float,
        ran: bool,
    ) -> None:
        server = self._servers[index]
        report = load.LoadReport(
            server.running, len(server.queue), server.slots, server.slowness
        )

        def arrive(arrived: float) -> None:
            server_load = self._loads[host][index]
            server_load.on_done()
            if not ran:
                server_load.on_report(arrived, report)
                server_load.on_failure()
                return
            server_load.on_response(
                arrived, arrived - sent, expected_wait, report
            )
            self._latencies.append(arrived - sent)

        self._schedule(now + LATENCY_SECONDS, arrive)

    def _change_slowness(self, now: float) -> None:
        if now > self._shape.seconds:
            return
        for server in self._servers:
            is_slow = self._random.random() < SLOW_SHARE
            server.slowness = SLOW_FACTOR if is_slow else 1.0
        self._schedule(now + SLOW_SECONDS, self._change_slowness)


def compare(shape: Shape, seeds: typing.Iterable[int]) -> dict[str, Result]:
    """Return the mean outcome by policy, for the same seeds."""
    outcomes: dict[str, Result] = {}
    seeds = list(seeds)
    for name, make_policy in POLICIES_BY_NAME.items():
        runs = [Model(shape, seed, make_policy()).run() for seed in seeds]
        outcomes[name] = Result(
            *(statistics.mean(column) for column in zip(*runs))
        )
    return outcomes


@click.command()
@click.option("--seeds", default=5, help="Number of seeds.")
def main(seeds: int) -> None:
    """Compare the policies on the shapes of this module."""
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
