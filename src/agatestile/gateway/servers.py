"""Gate of one backend server: everything between a permit and a lane."""

from __future__ import annotations

import itertools
import logging
import typing

from agatestile.gateway import clock
from agatestile.gateway import lanes
from agatestile.gateway import responses
from agatestile.gateway import transfers
from agatestile.limits import admission
from agatestile.limits import deduplication
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.gateway import asgi
    from agatestile.gateway import calls
    from agatestile.gateway import ports
    from agatestile.gateway import wire
    from agatestile.limits import budget
    from agatestile.observability import invariants
    from agatestile.state import records

LOG = logging.getLogger(__name__)

CANCEL_SECONDS = 0.1
"""How long a slot stays in use after its connection was closed while the
request ran, for the server to notice."""

SILENCE_LEAST = 0.25
SILENCE_FACTOR = 8.0
"""A reused lane without an answer counts as silent after this many times
the 99% quantile, since established connections can stop working while new
ones do (section 1.2 of the design)."""

_CODES = codes.ResultCode


class _Attempt:
    """What one use of a slot showed."""

    __slots__ = ("hold_until", "latency", "shed")

    def __init__(self) -> None:
        self.hold_until = 0.0
        self.latency: float | None = None
        self.shed = False


class ServerGate:
    """The only sender to one backend server while its permit lasts.

    Parameters
    ----------
    row, service : records.TableRow
        Rows of the server and of its service.
    permits : ports.Permits
        Leases of this host.
    retries : budget.RetryBudget
        Bound on retries of this daemon.
    checks : invariants.Invariants
        Counts broken invariants.

    Attributes
    ----------
    admission : admission.Admission
        Slots and queue.
    identifiers : deduplication.Deduplication
        Requests that may not be repeated.
    """

    def __init__(
        self,
        row: records.TableRow,
        service: records.TableRow,
        permits: ports.Permits,
        retries: budget.RetryBudget,
        checks: invariants.Invariants,
    ) -> None:
        self._row = row
        self._service = service
        self._permits = permits
        self._retries = retries
        self._checks = checks
        self.admission = admission.Admission(
            row.server, _limits_of(row, service), checks
        )
        self.identifiers = deduplication.Deduplication()
        self.lanes = lanes.Lanes(row.address, _lane_limit(row))
        self._retired: list[lanes.Lanes] = []
        self._fence = ""
        self._fence_text = b""
        self._expires = 0.0
        self._incarnation = b""
        self._numbers = itertools.count(1)
        self.requests = 0

    def follow(self, row: records.TableRow, service: records.TableRow) -> None:
        """Follow a change of the table."""
        if row is self._row and service is self._service:
            return
        if row.address != self._row.address:
            self._retired.append(self.lanes)
            self.lanes = lanes.Lanes(row.address, _lane_limit(row))
            self.admission.ramp.make_cold(clock.now(), "its address changed")
        self.lanes.limit = _lane_limit(row)
        self._row, self._service = row, service
        self.admission.set_limits(_limits_of(row, service))

    async def handle(
        self, call: calls.Call, now: float
    ) -> outcomes.Refusal | None:
        """Run a request on the server and pass its answer on."""
        permit = self._permits.enter(self._row.server, call.position, now)
        if isinstance(permit, outcomes.Refusal):
            return permit
        self._note_permit(permit, now)
        call.permit = permit
        self.requests += 1
        try:
            return await self._run(call, now)
        finally:
            self._permits.leave(permit)

    async def _run(
        self, call: calls.Call, now: float
    ) -> outcomes.Refusal | None:
        identifier = call.request.identifier
        if call.may_repeat or not identifier:
            return await self._attempts(call)
        known = self.identifiers.begin(identifier, call.request.attempt, now)
        if isinstance(known, outcomes.Refusal):
            return known
        if known is not None:
            await transfers.send_whole(
                call, known.status, list(known.headers), known.body
            )
            call.run = responses.RUN
            return None
        try:
            return await self._attempts(call)
        finally:
            if call.run == responses.NOT_RUN:
                self.identifiers.forget(identifier)
            else:
                self.identifiers.finish(identifier, clock.now(), call.answer)

    def sweep(self, now: float) -> None:
        """Close lanes that are not needed any more."""
        self.lanes.close_idle(now - lanes.CLOSE_AFTER)
        for retired in self._retired:
            retired.close_idle(now)
        self._retired = [some for some in self._retired if some.open]

    async def _attempts(self, call: calls.Call) -> outcomes.Refusal | None:
        refusal = await self._attempt(call, fresh_only=False)
        if refusal is None or not self._may_retry(call, refusal):
            return refusal
        if not self._retries.spend(clock.now()):
            return outcomes.Refusal(
                _CODES.RETRY_BUDGET_SPENT
                if call.run == responses.NOT_RUN
                else refusal.code,
                f"{refusal.reason}; the retry budget is spent",
            )
        LOG.info(
            "gate: %s retries a request of position %d after %s",
            self._row.server,
            call.position,
            refusal,
        )
        return await self._attempt(call, fresh_only=True)

    def _may_retry(self, call: calls.Call, refusal: outcomes.Refusal) -> bool:
        if call.responded or not call.body.is_replayable:
            return False
        if refusal.code in (_CODES.CONNECT_FAILED, _CODES.SERVER_REFUSED):
            return call.run == responses.NOT_RUN or call.may_repeat
        return call.may_repeat and not codes.is_not_run(refusal.code)

    async def _attempt(
        self, call: calls.Call, fresh_only: bool
    ) -> outcomes.Refusal | None:
        now = clock.now()
        slot = self.admission.try_enter(now, call.deadline)
        if slot is None:
            slot = await self.admission.enter(
                call.deadline, self._service.priority
            )
            now = clock.now()
        if isinstance(slot, outcomes.Refusal):
            return slot
        attempt = _Attempt()
        try:
            return await self._use_slot(call, attempt, now, fresh_only)
        finally:
            self.admission.leave(
                slot,
                admission.Observation(
                    clock.now(),
                    attempt.latency,
                    attempt.shed,
                    attempt.hold_until,
                ),
            )

    async def _use_slot(
        self, call: calls.Call, attempt: _Attempt, now: float, fresh_only: bool
    ) -> outcomes.Refusal | None:
        # The lease may have ended while the request waited.
        assert call.permit is not None
        permit = self._permits.check(call.permit, now)
        if isinstance(permit, outcomes.Refusal):
            return permit
        self._note_permit(permit, now)
        if not self._row.fenced:
            # Such a server would run the request for the old gate after
            # the lease has gone to another one.
            call.shorten(permit.expires)
        pool = self.lanes
        lane = pool.take(now, fresh_only, call.may_repeat)
        if lane is None:
            return outcomes.Refusal(
                _CODES.QUEUE_FULL, "no connection to the server is free"
            )
        is_clean = False
        try:
            refusal, is_clean = await self._exchange(call, attempt, lane)
            return refusal
        finally:
            if is_clean:
                pool.give_back(lane, clock.now())
            else:
                await self._discard(call, attempt, pool, lane)

    async def _exchange(
        self, call: calls.Call, attempt: _Attempt, lane: lanes.Lane
    ) -> tuple[outcomes.Refusal | None, bool]:
        """Return the refusal, if any, and whether the lane can be reused."""
        identifier = self._identifier_of(call)
        sent = clock.now()
        call.went_silent = False
        call.silent_at = self._silent_at(call, lane, sent)
        response = await transfers.send(
            call, lane, self._headers(call, identifier, sent)
        )
        if isinstance(response, outcomes.Refusal):
            return self._failed(call, attempt, response, sent), False
        attempt.latency = clock.now() - lane.sent_at(sent)
        answered = response.header(b"x-request-id")
        if answered is not None and answered != identifier:
            return outcomes.Refusal(
                _CODES.ANSWER_BROKEN, "the answer is for another request"
            ), False
        refused = response.header(b"x-refused")
        if refused is not None:
            refusal = self._refused(call, attempt, response, refused)
            is_clean = await transfers.read_small(response) is not None
            return refusal, is_clean
        self._note_incarnation(response)
        own = responses.own_headers(0, responses.RUN, self._row.server)
        broken = await transfers.pass_on(call, response, own)
        return broken, broken is None

    def _failed(
        self,
        call: calls.Call,
        attempt: _Attempt,
        refusal: outcomes.Refusal,
        now: float,
    ) -> outcomes.Refusal:
        if refusal.code == _CODES.CONNECT_FAILED:
            self.admission.ramp.make_cold(now, "no connection")
        if call.went_silent:
            # The server may run the request until its deadline, because
            # the end of a silent connection may not reach it either.
            attempt.hold_until = call.deadline
            return refusal._replace(
                reason="no answer on an established connection"
            )
        return refusal

    def _refused(
        self,
        call: calls.Call,
        attempt: _Attempt,
        response: wire.Answer,
        why: bytes,
    ) -> outcomes.Refusal:
        """Return what a refusal of the server means."""
        attempt.latency = None
        if response.status == 503 and why == b"shed":
            attempt.shed = True
            call.run = call.run_before
            return outcomes.Refusal(
                _CODES.SERVER_SHED, "the server was out of slots"
            )
        text = why.decode("latin-1")[:64]
        is_fence = response.status == 409 and why == b"fence"
        if is_fence or response.header(b"x-started") == b"0":
            call.run = call.run_before
            return outcomes.Refusal(
                _CODES.SERVER_REFUSED, f"the server refused it: {text}"
            )
        return outcomes.Refusal(
            _CODES.OUTCOME_UNKNOWN,
            f"the server gave up ({text}) without telling that it did not "
            "start the request",
        )

    async def _discard(
        self,
        call: calls.Call,
        attempt: _Attempt,
        pool: lanes.Lanes,
        lane: lanes.Lane,
    ) -> None:
        now = clock.now()
        if lane.was_written() and call.run != responses.NOT_RUN:
            held = min(call.deadline, now) + CANCEL_SECONDS
            attempt.hold_until = max(attempt.hold_until, held)
        pool.discard(lane)
        if call.went_silent:
            pool.close_idle(now)

    def _note_permit(self, permit: ports.Permit, now: float) -> None:
        if permit.fence is not self._fence:
            self._note_fence(permit.fence, now)
        self._expires = permit.expires

    def _note_fence(self, fence: str, now: float) -> None:
        if fence == self._fence:
            self._fence = fence
            return
        # Another host may have been the gate in between, so a marked
        # repetition may be of a request that this host has not seen.
        self.identifiers.taken_over = now
        if not self._fence:
            self.admission.ramp.make_cold(now, "first contact")
        elif now > self._expires:
            self.admission.ramp.make_cold(now, "contact after a lapsed lease")
        self._fence = fence
        self._fence_text = fence.encode("ascii")

    def _note_incarnation(self, response: wire.Answer) -> None:
        incarnation = response.header(b"x-incarnation")
        if incarnation is None or incarnation == self._incarnation:
            return
        if self._incarnation:
            self.admission.ramp.make_cold(clock.now(), "it was started again")
        self._incarnation = incarnation

    def _identifier_of(self, call: calls.Call) -> bytes:
        if call.request.identifier:
            return call.request.identifier.encode("ascii")
        return b"%s-%d" % (self._fence_text, next(self._numbers))

    def _headers(
        self, call: calls.Call, identifier: bytes, now: float
    ) -> asgi.Headers:
        left = max(int((call.deadline - now) * 1000), 1)
        return [
            (b"host", self.lanes.address.encode("ascii")),
            *call.request.headers,
            (b"x-fence", self._fence_text),
            (b"x-deadline-ms", b"%d" % left),
            (b"x-request-id", identifier),
        ]

    def _silent_at(
        self, call: calls.Call, lane: lanes.Lane, now: float
    ) -> float:
        if lane.is_fresh or not call.may_repeat:
            return 0.0
        usual = self.admission.quantiles.quantile(0.99, now)
        wait = max(SILENCE_LEAST, SILENCE_FACTOR * usual)
        return now + min(wait, (call.deadline - now) / 2.0)


def _limits_of(
    row: records.TableRow, service: records.TableRow
) -> admission.Limits:
    return admission.Limits(
        row.slots, service.queue, service.queue_ms / 1000.0
    )


def _lane_limit(row: records.TableRow) -> int:
    return min(row.slots + 1, row.connections)
