"""Tests of the selection of a server, also against a simpler policy."""

from __future__ import annotations

import heapq
import random
import statistics
import typing

import pytest

from agatestile.balancing import choice
from agatestile.balancing import load

Policy = typing.Callable[
    [list[choice.Candidate], float, random.Random], choice.Candidate | None
]


def _candidate(name: str, **properties: float) -> choice.Candidate:
    server_load = load.ServerLoad(2, properties.get("service_time", 0.1))
    server_load.failure_share = properties.get("failures", 0.0)
    for _ in range(int(properties.get("in_flight", 0))):
        server_load.on_sent(0.0)
    network_cost = choice.network_cost(
        bool(properties.get("near", 1)), int(properties.get("size", 0))
    )
    return choice.Candidate(name, server_load, network_cost)


def _share(candidates: list[choice.Candidate], name: str) -> float:
    generator = random.Random(1)
    chosen = [choice.choose(candidates, 0.0, generator) for _ in range(500)]
    return sum(1 for one in chosen if one and one.id == name) / 500


def test_faster_server_is_preferred() -> None:
    """Guards against an even split among servers of different speed."""
    candidates = [_candidate("slow", service_time=0.2), _candidate("fast")]
    assert _share(candidates, "fast") > 0.95


def test_failing_server_gets_few_requests() -> None:
    """Guards against a failing server that keeps its share of requests.

    Its health check still succeeds (a grey failure). A few requests go
    there, so that its recovery is noticed.
    """
    candidates = [
        _candidate("grey", failures=0.7),
        _candidate("good", in_flight=1),
    ]
    assert 0.0 < _share(candidates, "grey") < 0.1


def test_server_in_the_same_domain_is_preferred_among_equal_ones() -> None:
    candidates = [_candidate("far", near=0), _candidate("near")]
    assert _share(candidates, "near") > 0.95


def test_large_body_crosses_domains_only_for_a_large_gain() -> None:
    """Guards against large uploads to another failure domain for a small gain.

    Uploads are most of the traffic between domains.
    """
    busy_near = _candidate("near", service_time=0.2)
    small = [busy_near, _candidate("far", near=0, size=1000)]
    assert _share(small, "far") > 0.95
    large = [busy_near, _candidate("far", near=0, size=200_000)]
    assert _share(large, "far") < 0.05


def test_full_and_suspended_servers_are_excluded() -> None:
    full = _candidate("full", in_flight=9)
    lost = _candidate("lost")
    lost.load.on_unreachable(0.0)
    assert choice.choose([full, lost], 0.1, random.Random(1)) is None


def _round_robin() -> Policy:
    position = [0]

    def pick(
        candidates: list[choice.Candidate],
        now: float,
        generator: random.Random,
    ) -> choice.Candidate:
        position[0] += 1
        return candidates[position[0] % len(candidates)]

    return pick


def _mean_response_time(policy: Policy, seed: int) -> float:
    """Return the mean response time of six servers with two slots each."""
    generator = random.Random(seed)
    speeds = [0.5, 1.0, 1.0, 1.5, 0.5, 1.5]
    candidates = [_candidate(str(index)) for index in range(len(speeds))]
    free_times = [[0.0, 0.0] for _ in speeds]
    completions: list[tuple[float, int, float, float]] = []
    response_times = []
    now = 0.0
    for _ in range(2000):
        now += generator.expovariate(55.0)
        while completions and completions[0][0] <= now:
            ended_at, index, elapsed, wait = heapq.heappop(completions)
            server_load = candidates[index].load
            server_load.on_done()
            running = sum(
                1 for free_at in free_times[index] if free_at > ended_at
            )
            report = load.LoadReport(running, 0, 2, 1.0)
            server_load.on_response(ended_at, elapsed, wait, report)
        chosen = policy(candidates, now, generator)
        if chosen is None:
            response_times.append(1.0)
            continue
        index = int(chosen.id)
        slot = free_times[index].index(min(free_times[index]))
        start = max(now, free_times[index][slot])
        work = generator.expovariate(1.0 / 0.16) / speeds[index]
        free_times[index][slot] = start + work
        wait = chosen.load.expected_wait(now)
        chosen.load.on_sent(now)
        elapsed = start + work - now
        heapq.heappush(completions, (start + work, index, elapsed, wait))
        response_times.append(elapsed)
    return statistics.mean(response_times)


@pytest.mark.parametrize("seed", range(5))
def test_selection_by_expected_time_beats_round_robin(seed: int) -> None:
    """Guards against slow responses in a burst on servers of mixed speed."""
    assert _mean_response_time(
        choice.choose, seed
    ) < 0.8 * _mean_response_time(_round_robin(), seed)
