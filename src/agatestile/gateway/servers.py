"""Gate of one backend server: everything between a permit and a lane."""

from __future__ import annotations

import logging
import typing

from agatestile.gateway import clock
from agatestile.gateway import connection_pool
from agatestile.gateway import responses
from agatestile.gateway import server_client
from agatestile.gateway import transfers
from agatestile.limits import admission
from agatestile.limits import deduplication
from agatestile.results import codes
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    import collections.abc

    from agatestile.gateway import calls
    from agatestile.gateway import ports
    from agatestile.limits import budget
    from agatestile.observability import invariants
    from agatestile.state import records

LOG = logging.getLogger(__name__)

CANCEL_HOLD_SECONDS = 0.1
"""How long a slot stays in use after its connection was closed while the
request ran, for the server to notice."""

TAKEOVER_HOLD_SECONDS = 0.5
"""How long a new gate leaves the slots unused in which the server ran
requests of the earlier gate. The end of the earlier gate's connections
cancels them; where it does not, the server sheds."""

_CODES = codes.ResultCode


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
    note : callable or None
        Called with the position of each request that this gate takes.
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
        self.pool = connection_pool.ConnectionPool(
            row.address, _connection_limit(row)
        )
        self._retired_pools: list[connection_pool.ConnectionPool] = []
        self._fence = ""
        self._permit_expires = 0.0
        self._client = server_client.ServerClient(row.server, self.admission)
        self.request_count = 0
        self.on_request: collections.abc.Callable[[int], None] | None = None

    @property
    def fence(self) -> str:
        """Fence of the last request, empty before the first one."""
        return self._fence

    @property
    def warm_incarnation(self) -> str:
        """Incarnation that is used at full capacity, empty while cold."""
        if self.admission.ramp.is_cold:
            return ""
        return self._client.incarnation.decode("ascii")

    def update_rows(
        self, row: records.TableRow, service: records.TableRow
    ) -> None:
        """Follow a change of the table."""
        if row is self._row and service is self._service:
            return
        if row.address != self._row.address:
            self._retired_pools.append(self.pool)
            self.pool = connection_pool.ConnectionPool(
                row.address, _connection_limit(row)
            )
            self.admission.ramp.mark_cold(clock.now(), "its address changed")
        self.pool.limit = _connection_limit(row)
        self._row, self._service = row, service
        self.admission.set_limits(_limits_of(row, service))

    async def handle(
        self, call: calls.Call, now: float
    ) -> outcomes.Refusal | None:
        """Run a request on the server and pass its answer on."""
        permit = self._permits.enter(self._row.server, call.position, now)
        if isinstance(permit, outcomes.Refusal):
            return permit
        self._update_permit(permit, now)
        call.permit = permit
        self.request_count += 1
        if self.on_request is not None:
            self.on_request(call.position)
        try:
            return await self._run(call, now)
        finally:
            self._permits.leave(permit)

    async def _run(
        self, call: calls.Call, now: float
    ) -> outcomes.Refusal | None:
        identifier = call.request.identifier
        if call.may_repeat or not identifier:
            return await self._run_with_retry(call)
        earlier = self.identifiers.begin(identifier, call.request.attempt, now)
        if isinstance(earlier, outcomes.Refusal):
            return earlier
        if earlier is not None:
            await transfers.send_complete(
                call, earlier.status, list(earlier.headers), earlier.body
            )
            call.run_state = responses.RUN
            return None
        try:
            return await self._run_with_retry(call)
        finally:
            if call.run_state == responses.NOT_RUN:
                self.identifiers.forget(identifier)
            else:
                self.identifiers.finish(identifier, clock.now(), call.answer)

    def sweep(self, now: float) -> None:
        """Close lanes that are not needed any more."""
        self.pool.close_idle(now - connection_pool.MAX_IDLE_SECONDS)
        for pool in self._retired_pools:
            pool.close_idle(now)
        self._retired_pools = [
            pool for pool in self._retired_pools if pool.size
        ]

    async def _run_with_retry(
        self, call: calls.Call
    ) -> outcomes.Refusal | None:
        refusal = await self._run_attempt(call, fresh_only=False)
        if refusal is None or not self._may_retry(call, refusal):
            return refusal
        if not self._retries.spend(clock.now()):
            return outcomes.Refusal(
                _CODES.RETRY_BUDGET_SPENT
                if call.run_state == responses.NOT_RUN
                else refusal.code,
                f"{refusal.reason}; the retry budget is spent",
            )
        LOG.info(
            "gate: %s retries a request of position %d after %s",
            self._row.server,
            call.position,
            refusal,
        )
        return await self._run_attempt(call, fresh_only=True)

    def _may_retry(self, call: calls.Call, refusal: outcomes.Refusal) -> bool:
        if call.responded or not call.body.is_replayable:
            return False
        if refusal.code in (_CODES.CONNECT_FAILED, _CODES.SERVER_REFUSED):
            return call.run_state == responses.NOT_RUN or call.may_repeat
        return call.may_repeat and not codes.did_not_run(refusal.code)

    async def _run_attempt(
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
        attempt = server_client.Attempt()
        try:
            return await self._send_with_slot(call, attempt, now, fresh_only)
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

    async def _send_with_slot(
        self,
        call: calls.Call,
        attempt: server_client.Attempt,
        now: float,
        fresh_only: bool,
    ) -> outcomes.Refusal | None:
        # The lease may have ended while the request waited.
        assert call.permit is not None
        permit = self._permits.check(call.permit, now)
        if isinstance(permit, outcomes.Refusal):
            return permit
        self._update_permit(permit, now)
        if not self._row.fenced:
            # Such a server would run the request for the old gate after
            # the lease has gone to another one.
            call.limit_deadline(permit.expires)
        pool = self.pool
        connection = pool.acquire(now, fresh_only, call.may_repeat)
        if connection is None:
            return outcomes.Refusal(
                _CODES.QUEUE_FULL, "no connection to the server is free"
            )
        is_reusable = False
        try:
            refusal, is_reusable = await self._client.run(
                call, attempt, connection, pool.host_header
            )
            return refusal
        finally:
            if is_reusable:
                pool.release(connection, clock.now())
            else:
                self._discard(call, attempt, pool, connection)

    def _discard(
        self,
        call: calls.Call,
        attempt: server_client.Attempt,
        pool: connection_pool.ConnectionPool,
        connection: connection_pool.PooledConnection,
    ) -> None:
        now = clock.now()
        if connection.was_written() and call.run_state != responses.NOT_RUN:
            hold_until = min(call.deadline, now) + CANCEL_HOLD_SECONDS
            attempt.hold_until = max(attempt.hold_until, hold_until)
        pool.discard(connection)
        if call.response_timed_out:
            pool.close_idle(now)

    def _update_permit(self, permit: ports.Permit, now: float) -> None:
        if permit.fence is not self._fence:
            self._update_fence(permit, now)
        self._permit_expires = permit.expires

    def _update_fence(self, permit: ports.Permit, now: float) -> None:
        fence = permit.fence
        if fence == self._fence:
            self._fence = fence
            return
        # Another host may have been the gate in between, so a marked
        # repetition may be of a request that this host has not seen.
        self.identifiers.takeover_time = now
        if not self._fence or now > self._permit_expires:
            self._take_over(permit, now)
        self._fence = fence
        self._client.fence = fence.encode("ascii")

    def _take_over(self, permit: ports.Permit, now: float) -> None:
        """Start slowly, unless the earlier gate knew the server as warm."""
        if permit.warm_incarnation:
            self._client.incarnation = permit.warm_incarnation.encode()
            self.admission.hold(permit.running, now + TAKEOVER_HOLD_SECONDS)
        else:
            self.admission.ramp.mark_cold(now, "first contact of this gate")


def _limits_of(
    row: records.TableRow, service: records.TableRow
) -> admission.Limits:
    return admission.Limits(
        row.slots, service.queue, service.queue_ms / 1000.0
    )


def _connection_limit(row: records.TableRow) -> int:
    return min(row.slots + 1, row.connections)
