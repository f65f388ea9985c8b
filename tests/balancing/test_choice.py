"""Choice of a server, compared with simpler policies on one load."""

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


def _candidate(name: str, **figures: float) -> choice.Candidate:
    known = load.ServerLoad(2, figures.get("service_time", 0.1))
    known.failure_share = figures.get("failures", 0.0)
    for _ in range(int(figures.get("in_flight", 0))):
        known.on_sent(0.0)
    way = choice.network_cost(
        bool(figures.get("near", 1)), int(figures.get("size", 0))
    )
    return choice.Candidate(name, known, way)


def _share(candidates: list[choice.Candidate], name: str) -> float:
    generator = random.Random(1)
    chosen = [choice.choose(candidates, 0.0, generator) for _ in range(500)]
    return sum(1 for one in chosen if one and one.id == name) / 500


def test_faster_server_is_preferred() -> None:
    """Pattern: servers of different speed."""
    both = [_candidate("slow", service_time=0.2), _candidate("fast")]
    assert _share(both, "fast") > 0.95


def test_failing_server_is_left_out_but_tried_again() -> None:
    """Pattern: grey failures behind a good health check."""
    both = [_candidate("grey", failures=0.7), _candidate("good", in_flight=1)]
    assert 0.0 < _share(both, "grey") < 0.1


def test_server_nearby_is_preferred_among_equal_ones() -> None:
    both = [_candidate("far", near=0), _candidate("near")]
    assert _share(both, "near") > 0.95


def test_large_body_goes_far_only_for_a_large_gain() -> None:
    """Pattern: uploads, which are most of the traffic between domains."""
    busy_near = _candidate("near", service_time=0.2)
    small = [busy_near, _candidate("far", near=0, size=1000)]
    assert _share(small, "far") > 0.95
    large = [busy_near, _candidate("far", near=0, size=200_000)]
    assert _share(large, "far") < 0.05


def test_full_and_suspended_servers_are_left_out() -> None:
    full = _candidate("full", in_flight=9)
    lost = _candidate("lost")
    lost.load.on_unreachable(0.0)
    assert choice.choose([full, lost], 0.1, random.Random(1)) is None


def _in_turn() -> Policy:
    turn = [0]

    def pick(
        candidates: list[choice.Candidate],
        now: float,
        generator: random.Random,
    ) -> choice.Candidate:
        turn[0] += 1
        return candidates[turn[0] % len(candidates)]

    return pick


def _mean_time(policy: Policy, seed: int) -> float:
    """Return the mean time of answers of six servers of two slots each."""
    generator = random.Random(seed)
    speeds = [0.5, 1.0, 1.0, 1.5, 0.5, 1.5]
    candidates = [_candidate(str(place)) for place in range(len(speeds))]
    free = [[0.0, 0.0] for _ in speeds]
    done: list[tuple[float, int, float, float]] = []
    times = []
    now = 0.0
    for _ in range(2000):
        now += generator.expovariate(55.0)
        while done and done[0][0] <= now:
            ended, place, elapsed, wait = heapq.heappop(done)
            known = candidates[place].load
            known.on_done()
            running = sum(1 for until in free[place] if until > ended)
            report = load.LoadReport(running, 0, 2, 1.0)
            known.on_response(ended, elapsed, wait, report)
        chosen = policy(candidates, now, generator)
        if chosen is None:
            times.append(1.0)
            continue
        place = int(chosen.id)
        slot = free[place].index(min(free[place]))
        start = max(now, free[place][slot])
        work = generator.expovariate(1.0 / 0.16) / speeds[place]
        free[place][slot] = start + work
        wait = chosen.load.expected_wait(now)
        chosen.load.on_sent(now)
        elapsed = start + work - now
        heapq.heappush(done, (start + work, place, elapsed, wait))
        times.append(elapsed)
    return statistics.mean(times)


@pytest.mark.parametrize("seed", range(5))
def test_expected_completion_beats_serving_in_turn(seed: int) -> None:
    """Pattern: burst on servers of different speed."""
    assert _mean_time(choice.choose, seed) < 0.8 * _mean_time(_in_turn(), seed)
