"""Slots and queue of one server."""

from __future__ import annotations

import collections.abc
import typing

import anyio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import trio
from trio import testing

from agatestile.limits import admission
from agatestile.observability import invariants
from agatestile.results import codes
from agatestile.results import outcomes

CODES = codes.ResultCode
FAR = 1e9


def _admission(
    slots: int = 1, queue: int = 2, seconds: float = 0.5
) -> admission.Admission:
    limits = admission.Limits(slots, queue, seconds)
    return admission.Admission("p1", limits, invariants.Invariants())


def _run(main: collections.abc.Callable[[], typing.Any]) -> None:
    trio.run(main, clock=testing.MockClock(autojump_threshold=0))


def _code(found: admission.Slot | outcomes.Refusal) -> int:
    return 0 if isinstance(found, admission.Slot) else found.code


async def _occupy(made: admission.Admission, seconds: float) -> None:
    slot = await made.enter(FAR, 0)
    assert isinstance(slot, admission.Slot)
    await anyio.sleep(seconds)
    made.leave(slot, admission.Observation(anyio.current_time(), 0.01))


def test_queue_is_bounded_in_length_and_time() -> None:
    # An unbounded queue makes every caller miss its deadline.
    found: list[tuple[int, float]] = []

    async def main() -> None:
        made = _admission()
        start = anyio.current_time()

        async def enter() -> None:
            code = _code(await made.enter(FAR, 0))
            found.append((code, round(anyio.current_time() - start, 2)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_occupy, made, 2.0)
            await anyio.sleep(0.1)
            for _ in range(3):
                tasks.start_soon(enter)
        assert made.waiting == 0

    _run(main)
    assert sorted(found) == [
        (CODES.QUEUE_FULL, 0.1),
        (CODES.QUEUE_TIMEOUT, 0.6),
        (CODES.QUEUE_TIMEOUT, 0.6),
    ]


def test_request_past_its_deadline_is_dropped_before_it_is_sent() -> None:
    async def main() -> None:
        made = _admission()
        now = anyio.current_time()
        assert _code(await made.enter(now, 0)) == CODES.DEADLINE_PASSED
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_occupy, made, 1.0)
            await anyio.sleep(0.1)
            found = await made.enter(now + 0.2, 0)
        assert _code(found) == CODES.DEADLINE_PASSED

    _run(main)


def test_higher_priority_takes_the_place_of_the_last_in_a_full_queue() -> None:
    found: dict[int, int] = {}

    async def main() -> None:
        made = _admission(queue=1)

        async def enter(priority: int) -> None:
            slot = await made.enter(FAR, priority)
            found[priority] = _code(slot)
            if isinstance(slot, admission.Slot):
                now = anyio.current_time()
                made.leave(slot, admission.Observation(now))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_occupy, made, 0.3)
            for priority in (1, 5, 3):
                await anyio.sleep(0.01)
                tasks.start_soon(enter, priority)

    _run(main)
    assert found == {1: CODES.QUEUE_FULL, 3: CODES.QUEUE_FULL, 5: 0}


@pytest.mark.parametrize("backend", ["asyncio", "trio"])
def test_waiter_cancelled_after_its_grant_gives_the_slot_back(
    backend: str,
) -> None:
    # asyncio cancels a task that was already granted its slot.
    async def main() -> None:
        made = _admission()
        first = await made.enter(FAR, 0)
        assert isinstance(first, admission.Slot)
        kept = []

        async def enter() -> None:
            kept.append(await made.enter(FAR, 0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(enter)
            await anyio.sleep(0.01)
            made.leave(first, admission.Observation(anyio.current_time()))
            assert made.in_flight == 1
            tasks.cancel_scope.cancel()
        assert made.in_flight == len(kept)

    anyio.run(main, backend=backend)


def test_held_slot_is_used_again_when_its_time_is_over() -> None:
    # Nobody leaves a held slot, so a waiter must notice the time itself.
    async def main() -> None:
        made = _admission()
        start = anyio.current_time()
        made.hold(1, start + 0.2)
        assert _code(await made.enter(FAR, 0)) == 0
        assert 0.2 <= anyio.current_time() - start < 0.25

    _run(main)


def test_cold_server_gets_one_request_at_a_bounded_rate() -> None:
    sent: list[float] = []

    async def main() -> None:
        made = _admission(slots=3, queue=100, seconds=60.0)
        start = anyio.current_time()
        made.ramp.mark_cold(start, "test")

        async def one() -> None:
            slot = await made.enter(FAR, 0)
            assert isinstance(slot, admission.Slot)
            assert made.in_flight == 1
            sent.append(anyio.current_time() - start)
            await anyio.sleep(0.005)
            now = anyio.current_time()
            made.leave(slot, admission.Observation(now, 0.005))

        async with anyio.create_task_group() as tasks:
            for _ in range(13):
                tasks.start_soon(one)

    _run(main)
    # 2/s in the first second, then 4/s, then 8/s.
    assert sum(at < 0.99 for at in sent) == 2
    assert sum(0.99 < at < 2.0 for at in sent) <= 5
    assert sent[-1] < 4.0


def test_shed_starts_the_ramp_again() -> None:
    made = _admission(slots=2)
    slot = made.try_enter(0.0, FAR)
    assert isinstance(slot, admission.Slot)
    made.leave(slot, admission.Observation(0.1, None, shed=True))
    assert made.ramp.is_cold
    assert made.try_enter(0.2, FAR) is None
    assert isinstance(made.try_enter(0.7, FAR), admission.Slot)


class Machine(stateful.RuleBasedStateMachine):
    """Any order of events at one gate keeps the server's bounds."""

    SLOTS = 3

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.checks = invariants.Invariants()
        limits = admission.Limits(self.SLOTS, 4, 0.5)
        self.admission = admission.Admission("p1", limits, self.checks)
        self.slots: list[admission.Slot] = []
        self.waiters: list[typing.Any] = []
        self.held: list[float] = []
        self.starts: list[float] = []
        self.cold_since: float | None = None

    def _take(self, found: object) -> None:
        if isinstance(found, admission.Slot):
            self.slots.append(found)
            self.starts.append(self.now)

    def _collect(self) -> None:
        done = [some for some in self.waiters if some.answer is not None]
        for waiter in done:
            self.waiters.remove(waiter)
            self._take(waiter.answer)

    @stateful.rule(left=strategies.sampled_from([-0.1, 0.05, 1.0]))
    def enter(self, left: float) -> None:
        found = self.admission.try_enter(self.now, self.now + left)
        if left <= 0.0:
            assert isinstance(found, outcomes.Refusal)
        self._take(found)

    @stateful.rule(
        left=strategies.sampled_from([0.05, 1.0]),
        priority=strategies.integers(0, 2),
    )
    def join(self, left: float, priority: int) -> None:
        waiter = self.admission.enqueue(self.now, self.now + left, priority)
        if not isinstance(waiter, outcomes.Refusal):
            self.waiters.append(waiter)
        self._collect()

    @stateful.precondition(lambda self: self.slots)
    @stateful.rule(
        latency=strategies.sampled_from([None, 0.001, 0.5]),
        shed=strategies.booleans(),
        hold=strategies.sampled_from([0.0, 0.3]),
    )
    def leave(self, latency: float | None, shed: bool, hold: float) -> None:
        until = self.now + hold if hold else 0.0
        if hold:
            self.held.append(until)
        if shed:
            self.cold_since = self.now
        self.admission.leave(
            self.slots.pop(0),
            admission.Observation(self.now, latency, shed, until),
        )
        self._collect()

    @stateful.rule(seconds=strategies.sampled_from([0.001, 0.06, 0.4, 1.1]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.admission.poll(self.now)
        self._collect()

    @stateful.rule()
    def mark_cold(self) -> None:
        self.admission.ramp.mark_cold(self.now, "test")
        self.cold_since = self.now

    @stateful.invariant()
    def uses_no_more_than_its_slots(self) -> None:
        held = sum(until > self.now for until in self.held)
        running = len(self.slots)
        assert self.admission.in_flight == running
        assert running + held <= self.SLOTS
        assert not self.checks.violations_by_name

    @stateful.invariant()
    def sends_at_most_two_in_the_first_cold_second(self) -> None:
        if self.cold_since is not None:
            end = self.cold_since + 0.999
            starts = [at for at in self.starts if self.cold_since < at < end]
            assert len(starts) <= 2

    @stateful.invariant()
    def queue_is_bounded_and_never_late(self) -> None:
        assert self.admission.waiting <= 4


Machine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestMachine = Machine.TestCase
