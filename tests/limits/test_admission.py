"""Slots of a server and the queue for them."""

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
FAR_DEADLINE = 1e9


def _admission(
    slots: int = 1, queue: int = 2, seconds: float = 0.5
) -> admission.Admission:
    limits = admission.Limits(slots, queue, seconds)
    return admission.Admission("p1", limits, invariants.Invariants())


def _run_in_virtual_time(
    main: collections.abc.Callable[[], typing.Any],
) -> None:
    trio.run(main, clock=testing.MockClock(autojump_threshold=0))


def _code_of(found: admission.Slot | outcomes.Refusal) -> int:
    return 0 if isinstance(found, admission.Slot) else found.code


async def _hold_slot(limiter: admission.Admission, seconds: float) -> None:
    slot = await limiter.enter(FAR_DEADLINE, 0)
    assert isinstance(slot, admission.Slot)
    await anyio.sleep(seconds)
    limiter.leave(slot, admission.Observation(anyio.current_time(), 0.01))


def test_queue_is_bounded_in_length_and_time() -> None:
    """Guards against a queue in which every caller misses its deadline.

    This happens under overload if the queue is unbounded.
    """
    results: list[tuple[int, float]] = []

    async def main() -> None:
        limiter = _admission()
        start = anyio.current_time()

        async def enter() -> None:
            code = _code_of(await limiter.enter(FAR_DEADLINE, 0))
            results.append((code, round(anyio.current_time() - start, 2)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_hold_slot, limiter, 2.0)
            await anyio.sleep(0.1)
            for _ in range(3):
                tasks.start_soon(enter)
        assert limiter.waiting == 0

    _run_in_virtual_time(main)
    assert sorted(results) == [
        (CODES.QUEUE_FULL, 0.1),
        (CODES.QUEUE_TIMEOUT, 0.6),
        (CODES.QUEUE_TIMEOUT, 0.6),
    ]


def test_request_past_its_deadline_is_dropped_before_it_is_sent() -> None:
    """Guards against work for callers that no longer wait.

    The deadline may pass before the request is queued or in the queue.
    """

    async def main() -> None:
        limiter = _admission()
        now = anyio.current_time()
        assert _code_of(await limiter.enter(now, 0)) == CODES.DEADLINE_PASSED
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_hold_slot, limiter, 1.0)
            await anyio.sleep(0.1)
            found = await limiter.enter(now + 0.2, 0)
        assert _code_of(found) == CODES.DEADLINE_PASSED

    _run_in_virtual_time(main)


def test_higher_priority_takes_the_place_of_the_last_in_a_full_queue() -> None:
    """Guards against a full queue that refuses more important requests."""
    codes_by_priority: dict[int, int] = {}

    async def main() -> None:
        limiter = _admission(queue=1)

        async def enter(priority: int) -> None:
            slot = await limiter.enter(FAR_DEADLINE, priority)
            codes_by_priority[priority] = _code_of(slot)
            if isinstance(slot, admission.Slot):
                now = anyio.current_time()
                limiter.leave(slot, admission.Observation(now))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_hold_slot, limiter, 0.3)
            for priority in (1, 5, 3):
                await anyio.sleep(0.01)
                tasks.start_soon(enter, priority)

    _run_in_virtual_time(main)
    assert codes_by_priority == {
        1: CODES.QUEUE_FULL,
        3: CODES.QUEUE_FULL,
        5: 0,
    }


@pytest.mark.parametrize("backend", ["asyncio", "trio"])
def test_waiter_cancelled_after_its_grant_releases_the_slot(
    backend: str,
) -> None:
    """Guards against a slot that is never released.

    asyncio cancels a task that was already granted its slot.
    """

    async def main() -> None:
        limiter = _admission()
        first = await limiter.enter(FAR_DEADLINE, 0)
        assert isinstance(first, admission.Slot)
        granted = []

        async def enter() -> None:
            granted.append(await limiter.enter(FAR_DEADLINE, 0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(enter)
            await anyio.sleep(0.01)
            limiter.leave(first, admission.Observation(anyio.current_time()))
            assert limiter.in_flight == 1
            tasks.cancel_scope.cancel()
        assert limiter.in_flight == len(granted)

    anyio.run(main, backend=backend)


def test_held_slot_is_free_when_its_time_is_over() -> None:
    """Guards against a waiter that misses the end of a hold.

    No request releases a held slot, so the waiter must check the time.
    """

    async def main() -> None:
        limiter = _admission()
        start = anyio.current_time()
        limiter.hold(1, start + 0.2)
        assert _code_of(await limiter.enter(FAR_DEADLINE, 0)) == 0
        assert 0.2 <= anyio.current_time() - start < 0.25

    _run_in_virtual_time(main)


def test_cold_server_gets_one_request_at_a_bounded_rate() -> None:
    """Guards against a cold server that gets its full load at once."""
    sent: list[float] = []

    async def main() -> None:
        limiter = _admission(slots=3, queue=100, seconds=60.0)
        start = anyio.current_time()
        limiter.ramp.mark_cold(start, "test")

        async def send_request() -> None:
            slot = await limiter.enter(FAR_DEADLINE, 0)
            assert isinstance(slot, admission.Slot)
            assert limiter.in_flight == 1
            sent.append(anyio.current_time() - start)
            await anyio.sleep(0.005)
            now = anyio.current_time()
            limiter.leave(slot, admission.Observation(now, 0.005))

        async with anyio.create_task_group() as tasks:
            for _ in range(13):
                tasks.start_soon(send_request)

    _run_in_virtual_time(main)
    # The rate is 2/s in the first second, then 4/s, then 8/s.
    assert sum(start < 0.99 for start in sent) == 2
    assert sum(0.99 < start < 2.0 for start in sent) <= 5
    assert sent[-1] < 4.0


def test_shed_starts_the_ramp_again() -> None:
    """Guards against an unreduced rate to a server that sheds requests."""
    limiter = _admission(slots=2)
    slot = limiter.try_enter(0.0, FAR_DEADLINE)
    assert isinstance(slot, admission.Slot)
    limiter.leave(slot, admission.Observation(0.1, None, shed=True))
    assert limiter.ramp.is_cold
    assert limiter.try_enter(0.2, FAR_DEADLINE) is None
    assert isinstance(limiter.try_enter(0.7, FAR_DEADLINE), admission.Slot)


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Checks that any order of events at one gate keeps the limits."""

    SLOTS = 3

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.checks = invariants.Invariants()
        limits = admission.Limits(self.SLOTS, 4, 0.5)
        self.admission = admission.Admission("p1", limits, self.checks)
        self.slots: list[admission.Slot] = []
        self.waiters: list[typing.Any] = []
        self.held_until: list[float] = []
        self.starts: list[float] = []
        self.cold_since: float | None = None

    def _record_start(self, found: object) -> None:
        if isinstance(found, admission.Slot):
            self.slots.append(found)
            self.starts.append(self.now)

    def _collect_answers(self) -> None:
        done = [waiter for waiter in self.waiters if waiter.answer is not None]
        for waiter in done:
            self.waiters.remove(waiter)
            self._record_start(waiter.answer)

    @stateful.rule(time_left=strategies.sampled_from([-0.1, 0.05, 1.0]))
    def enter(self, time_left: float) -> None:
        found = self.admission.try_enter(self.now, self.now + time_left)
        if time_left <= 0.0:
            assert isinstance(found, outcomes.Refusal)
        self._record_start(found)

    @stateful.rule(
        time_left=strategies.sampled_from([0.05, 1.0]),
        priority=strategies.integers(0, 2),
    )
    def enqueue(self, time_left: float, priority: int) -> None:
        waiter = self.admission.enqueue(
            self.now, self.now + time_left, priority
        )
        if not isinstance(waiter, outcomes.Refusal):
            self.waiters.append(waiter)
        self._collect_answers()

    @stateful.precondition(lambda self: self.slots)
    @stateful.rule(
        latency=strategies.sampled_from([None, 0.001, 0.5]),
        shed=strategies.booleans(),
        hold=strategies.sampled_from([0.0, 0.3]),
    )
    def leave(self, latency: float | None, shed: bool, hold: float) -> None:
        until = self.now + hold if hold else 0.0
        if hold:
            self.held_until.append(until)
        if shed:
            self.cold_since = self.now
        self.admission.leave(
            self.slots.pop(0),
            admission.Observation(self.now, latency, shed, until),
        )
        self._collect_answers()

    @stateful.rule(seconds=strategies.sampled_from([0.001, 0.06, 0.4, 1.1]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.admission.poll(self.now)
        self._collect_answers()

    @stateful.rule()
    def mark_cold(self) -> None:
        self.admission.ramp.mark_cold(self.now, "test")
        self.cold_since = self.now

    @stateful.invariant()
    def slots_in_use_are_bounded(self) -> None:
        held = sum(until > self.now for until in self.held_until)
        running = len(self.slots)
        assert self.admission.in_flight == running
        assert running + held <= self.SLOTS
        assert not self.checks.violations_by_name

    @stateful.invariant()
    def sends_at_most_two_in_the_first_cold_second(self) -> None:
        if self.cold_since is not None:
            end = self.cold_since + 0.999
            starts = [
                start for start in self.starts if self.cold_since < start < end
            ]
            assert len(starts) <= 2

    @stateful.invariant()
    def queue_is_bounded(self) -> None:
        assert self.admission.waiting <= 4


AdmissionMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestAdmissionMachine = AdmissionMachine.TestCase
