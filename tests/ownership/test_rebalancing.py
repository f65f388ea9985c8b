"""Moves and merges that a leader proposes to balance loads."""

from __future__ import annotations

import collections
import random

import pytest

from agatestile.ownership import handover
from agatestile.ownership import merging
from agatestile.ownership import rebalancing
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import cluster
from agatestile.state import ranges
from agatestile.state import records
from tests.ownership import support

SERVERS = ("p1", "p2", "p3")
START = 100.0


def state(count: int = 24) -> cluster.ClusterState:
    """Return a state in which p1, p2 and p3 own ranges of equal width."""
    cluster_state = cluster.ClusterState()
    support.append(
        cluster_state, records.TableChange("t", "op", -1, support.table())
    )
    support.append(
        cluster_state, records.Lead("l", support.DOMAIN, support.LEADER_TERM)
    )
    starts = [index * ranges.END // count for index in range(count + 1)]
    changes = tuple(
        support.change(
            starts[index], starts[index + 1], 0, SERVERS[index * 3 // count]
        )
        for index in range(count)
    )
    support.append(
        cluster_state,
        records.Assign("a", support.DOMAIN, support.LEADER_TERM, changes),
    )
    return cluster_state


class LoadSimulation:
    """A simulated leader whose gates report given loads after a lag.

    Each of 24 positions has 10 requests/s besides the rates that a test
    sets in `extra_rates`.
    """

    def __init__(self, lag: float = 0.0, seed: int = 1) -> None:
        self.domain = support.LeaderSimulation(state(), START)
        self.range_map = self.domain.state.ranges_by_service["price"]
        self.handover = handover.Handover(self.domain.leader)
        self.rebalancer = rebalancing.Rebalancer(
            self.domain.leader, self.handover, START
        )
        self.now = START
        self.extra_rates: dict[int, float] = {}
        self.intents: list[tuple[float, records.Intent]] = []
        self._positions = [current.start + 5 for current in self.range_map]
        self._random = random.Random(seed)
        self._lag = lag
        self._sent: collections.deque[tuple[float, ttypes.Heartbeat]] = (
            collections.deque()
        )

    def run(self, seconds: float) -> None:
        """Exchange grants, heartbeats and load reports; write records."""
        end = self.now + seconds
        while self.now < end:
            now = self.now
            self.domain.exchange_grants(now)
            self.domain.send_heartbeat(now)
            if now % 2 == 0:
                self._sent.append((now, self.heartbeat(now)))
            while self._sent and self._sent[0][0] <= now - self._lag:
                self.rebalancer.record_loads(self._sent.popleft()[1], now)
            self.rebalancer.tick(now)
            self._write(now)
            self.now += 0.25

    def heartbeat(self, now: float) -> ttypes.Heartbeat:
        """Return the only host's heartbeat, with 20% noise in its loads."""
        rates = collections.Counter(dict.fromkeys(self._positions, 10.0))
        rates.update(self.extra_rates)  # type: ignore[arg-type]
        loads: dict[tuple[int, int], float] = collections.defaultdict(float)
        for position in rates:
            rates[position] *= self._random.uniform(0.8, 1.2)
            current = self.range_map.find(position)
            loads[current.start, current.end] += rates[position]
        return ttypes.Heartbeat(
            host="h1",
            instance="h1#a",
            gates=[
                ttypes.GateReport(server, fence, 0, 0.0, 0.0)
                for server, fence in self.domain.gates.held(
                    support.DOMAIN, now
                ).items()
            ],
            loads=[
                ttypes.RangeLoad("price", *key, load)
                for key, load in loads.items()
            ],
            hot_keys=[
                ttypes.HotKey("price", position, rates[position])
                for position in self.extra_rates
            ],
        )

    def imbalance(self) -> float:
        """Return the highest load of a server relative to the mean."""
        loads: collections.Counter[str] = collections.Counter()
        for position in self._positions:
            loads[self.range_map.find(position).server] += 10
        for position, rate in self.extra_rates.items():
            loads[self.range_map.find(position).server] += int(rate)
        return max(loads.values()) / (loads.total() / len(SERVERS))

    def moves(self) -> list[tuple[float, records.RangeChange]]:
        return [
            (when, change)
            for when, intent in self.intents
            for change in intent.changes
        ]

    def _write(self, now: float) -> None:
        record = self.handover.next_record(now)
        if record is None:
            return
        known = self.domain.state
        result = known.apply(known.offset + 1, record)
        assert isinstance(result, cluster.Applied), result
        self.handover.note_applied(record, result.offset, now)
        if isinstance(record, records.Intent):
            self.intents.append((now, record))


def test_hot_key_is_split_off_and_moves_alone() -> None:
    """Guards against a range that takes its hot key along.

    A move of the whole range would only move the hot spot.
    """
    simulation = LoadSimulation()
    simulation.extra_rates = {1000: 60.0, 2000: 60.0}
    simulation.run(120.0)
    _, first = simulation.moves()[0]
    assert (first.start, first.end) in ((1000, 1001), (2000, 2001))
    moved = simulation.range_map.find(first.start)
    assert moved[:2] == (first.start, first.end)
    assert moved.server in ("p2", "p3")
    for position in (first.start - 1, first.end):
        assert simulation.range_map.find(position).server == "p1"
    simulation.run(120.0)
    assert simulation.imbalance() < 1.25


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_reports_that_lag_cause_no_oscillation(seed: int) -> None:
    """Guards against moves based on loads from before the last move.

    Load reports are 5 s old and vary by 20%; the load changes once, then
    stays for seven minutes.
    """
    simulation = LoadSimulation(5.0, seed)
    simulation.run(90.0)
    assert simulation.intents == []
    simulation.extra_rates = {1000: 60.0, 2000: 60.0}
    simulation.run(180.0)
    moves = simulation.moves()
    assert 1 <= len(moves) <= 8
    assert simulation.imbalance() < 1.25
    simulation.run(240.0)
    assert simulation.moves() == moves
    starts = [change.start for _, change in moves]
    assert len(set(starts)) == len(starts)


def test_budget_of_moves_is_kept() -> None:
    """Guards against too many moves when the hot keys change often.

    A new leader must not spend the earlier leader's budget again.
    """
    simulation = LoadSimulation()
    generator = random.Random(5)
    for _ in range(16):
        first = generator.randrange(8) * ranges.END // 24
        simulation.extra_rates = {first + 1000: 80.0, first + 2000: 80.0}
        simulation.run(30.0)
    times = [when for when, _ in simulation.moves()]
    assert len(times) > 4
    assert times[0] >= START + 60.0
    for when in times:
        assert sum(when <= other < when + 60.0 for other in times) <= 4


def test_nothing_is_proposed_while_an_intent_is_open() -> None:
    """Guards against a second decision on loads that the first changes."""
    simulation = LoadSimulation()
    simulation.extra_rates = {1000: 60.0, 2000: 60.0}
    simulation.run(5.0)
    for position in (1000, 2000):
        simulation.domain.gates.enter("p1", position, simulation.now)
    simulation.run(235.0)
    assert len(simulation.intents) == 1
    assert len(simulation.domain.state.intents.by_offset) == 1


@pytest.mark.parametrize("what", ["fence", "instance", "later"])
def test_report_of_a_gate_that_lost_its_lease_is_ignored(what: str) -> None:
    """Guards against loads from a host that is no longer the gate."""
    simulation = LoadSimulation()
    simulation.run(5.0)
    reports = simulation.rebalancer.reports
    assert len(reports.owned("price", SERVERS)) == 24
    reports.discard_old(simulation.now + 60.0)
    heartbeat = simulation.heartbeat(simulation.now)
    if what == "fence":
        for report in heartbeat.gates:
            report.fence = "0.0"
    if what == "instance":
        heartbeat.instance = "h1#b"
    reports.record_loads(heartbeat, simulation.now)
    if what == "later":
        for gate in simulation.domain.leader.gates_by_server.values():
            gate.fence = "9.9"
    assert reports.owned("price", SERVERS) == []
    assert reports.hot_keys("price") == []


def test_cold_neighbours_are_merged_down_to_the_limit() -> None:
    """Guards against a number of ranges that grows with each hot key."""
    known = state(72)
    merger = merging.Merger(known)
    range_map = known.ranges_by_service["price"]
    hot = rebalancing.planner.OwnedRange(*range_map.at(30)[:3], 50.0)
    before = {current.start: current.server for current in range_map}
    for _ in range(6):
        changes = merger.plan("price", SERVERS, [hot])
        assert len(changes) <= merging.MAX_MERGES_PER_ROUND
        if changes:
            assign = records.Assign(
                "m", support.DOMAIN, support.LEADER_TERM, tuple(changes)
            )
            support.append(known, assign)
    assert len(range_map) == merging.MAX_RANGES_PER_SERVER * len(SERVERS)
    assert range_map.find(hot.start)[:2] == (hot.start, hot.end)
    assert {start: range_map.find(start).server for start in before} == before
