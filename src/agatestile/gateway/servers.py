"""Gate of a backend server: leases, slots, deduplication and retries."""

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
"""Time for which a slot stays in use after its connection was closed during a
request, until the server notices the closed connection."""

TAKEOVER_HOLD_SECONDS = 0.5
"""Time for which a new gate does not use the slots that requests of the
previous gate occupy. They are cancelled when the connections of the previous
gate are closed; the server sheds if they are not."""

_CODES = codes.ResultCode


class ServerGate:
    """Sends requests to one backend server, as its only sender.

    It may send only while it has a permit.

    Parameters
    ----------
    row, service : records.TableRow
        Rows of the server and of its service in the services table.
    permits : ports.Permits
        Leases under which this host may send to servers.
    retries : budget.RetryBudget
        Retry budget of this daemon.
    checks : invariants.Invariants
        Counts violated invariants.

    Attributes
    ----------
    admission : admission.Admission
        Slots of the server and the queue for them.
    identifiers : deduplication.Deduplication
        Recent identifiers of requests that must not run twice.
    pool : connection_pool.ConnectionPool
        Connections to the server.
    request_count : int
        Number of requests that this gate accepted.
    on_request : callable or None
        Called with the position of each request that this gate accepts.
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
        """Fencing token of the last request, empty before the first."""
        return self._fence

    @property
    def warm_incarnation(self) -> str:
        """Incarnation of the server at full capacity, empty while cold."""
        if self.admission.ramp.is_cold:
            return ""
        return self._client.incarnation.decode("ascii")

    def update_rows(
        self, row: records.TableRow, service: records.TableRow
    ) -> None:
        """Apply a change of the rows in the services table."""
        if row is self._row and service is self._service:
            return
        if row.address != self._row.address:
            self._retired_pools.append(self.pool)
            self.pool = connection_pool.ConnectionPool(
                row.address, _connection_limit(row)
            )
            self.admission.ramp.mark_cold(
                clock.now(), "the server's address changed"
            )
        self.pool.limit = _connection_limit(row)
        self._row, self._service = row, service
        self.admission.set_limits(_limits_of(row, service))

    async def handle(
        self, call: calls.Call, now: float
    ) -> outcomes.Refusal | None:
        """Run a request on the server and forward the response."""
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
        """Close idle connections and those to earlier addresses."""
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
            "gate: %s: retrying a request for position %d after %s",
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
        # The lease may have ended while the request waited for its slot.
        assert call.permit is not None
        permit = self._permits.check(call.permit, now)
        if isinstance(permit, outcomes.Refusal):
            return permit
        self._update_permit(permit, now)
        if not self._row.fenced:
            # A server that does not check fences would still run the request
            # of this gate after another gate has got the lease.
            call.limit_deadline(permit.expires)
        pool = self.pool
        connection = pool.acquire(now, fresh_only, call.may_repeat)
        if connection is None:
            return outcomes.Refusal(
                _CODES.QUEUE_FULL, "all connections to the server are in use"
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
        # Another host may have been the gate in between, so this host may not
        # have seen the first attempt of a request marked as repeated.
        self.identifiers.takeover_time = now
        if not self._fence or now > self._permit_expires:
            self._take_over(permit, now)
        self._fence = fence
        self._client.fence = fence.encode("ascii")

    def _take_over(self, permit: ports.Permit, now: float) -> None:
        """Start slowly unless the grant names a warm incarnation."""
        if permit.warm_incarnation:
            self._client.incarnation = permit.warm_incarnation.encode()
            self.admission.hold(permit.running, now + TAKEOVER_HOLD_SECONDS)
        else:
            self.admission.ramp.mark_cold(now, "first request of this gate")


def _limits_of(
    row: records.TableRow, service: records.TableRow
) -> admission.Limits:
    return admission.Limits(
        row.slots, service.queue, service.queue_ms / 1000.0
    )


def _connection_limit(row: records.TableRow) -> int:
    return min(row.slots + 1, row.connections)
