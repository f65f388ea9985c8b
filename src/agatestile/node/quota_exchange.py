"""Quotas in the reports to the coordinator and in its responses."""

from __future__ import annotations

import typing

import anyio

from agatestile.limits import quota_allocator
from agatestile.limits import quotas
from agatestile.node import clock
from agatestile.node import settings
from agatestile.observability import events

if typing.TYPE_CHECKING:
    from agatestile.assignment import records
    from agatestile.catalog import configuration as configuration_module
    from agatestile.catalog import tenants as tenants_module
    from agatestile.observability import counters

LIST_INTERVAL_SECONDS = 0.1
"""Interval between changes of the stored list of hosts, so that hosts which
report together are listed together."""


class Coordinator(typing.Protocol):
    """What the exchange needs of the coordinator of this host.

    Attributes
    ----------
    epoch : int
        Epoch of the leadership, 0 if this host does not lead.
    previous : records.Leadership
        Leadership that preceded the present one.
    leadership : records.Leadership
        Stored leadership of this host.
    is_active : bool
        Whether this host is the leader and its lease is valid.
    is_settled : bool
        Whether no earlier leader responds to hosts any longer.
    """

    epoch: int
    previous: records.Leadership

    @property
    def leadership(self) -> records.Leadership:
        """Return the stored leadership of this host."""

    @property
    def is_active(self) -> bool:
        """Return whether this host is the leader."""

    @property
    def is_settled(self) -> bool:
        """Return whether no earlier leader responds any longer."""

    async def store_quota_hosts(self, epoch: int, hosts: list[str]) -> bool:
        """Store the hosts that may use shares; return whether it is done."""


class QuotaExchange:
    """Quotas of this host, and the allocation to all hosts while it leads.

    Parameters
    ----------
    coordinator : Coordinator
        Coordinator of this host.
    bounds : settings.Bounds, optional
        Bounds agreed with the users.
    process : int, optional
        Number of this process, higher than those of earlier ones.
    now : callable, optional
        Clock that includes suspensions, seconds.

    Attributes
    ----------
    quotas : quotas.HostQuotas
        Quotas of this host.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        bounds: settings.Bounds = settings.Bounds(),
        process: int = 1,
        now: typing.Callable[[], float] = clock.boot_time,
    ) -> None:
        self._coordinator = coordinator
        self._now = now
        self._limits = quotas.Limits.from_bounds(
            bounds.quota_window, bounds.quota_overage, bounds.quota_slack
        )
        self.quotas = quotas.HostQuotas(process, self._limits)
        self._tenants: list[tenants_module.Tenant] = []
        self._allocator = quota_allocator.QuotaAllocator(0, (), self._limits)
        self._epoch = 0
        self._is_settled = False
        self._granted = anyio.Event()

    async def wait_granted(self, timeout: float) -> bool:
        """Wait for a grant; return whether one arrived.

        Parameters
        ----------
        timeout : float
            Longest wait, seconds.
        """
        granted = self._granted
        with anyio.move_on_after(timeout):
            await granted.wait()
            return True
        return False

    def on_configuration(
        self, new: configuration_module.Configuration
    ) -> None:
        """Apply the tenants of a configuration."""
        tenants = [] if new.tenants is None else new.tenants.by_name.values()
        self._tenants = list(tenants)
        now = self._now()
        self.quotas.configure(self._tenants, now)
        self._allocator.configure(self._tenants, now)

    def report(self) -> quotas.Report | None:
        """Return the part of the next report, None without quotas."""
        return self.quotas.report(self._now())

    def apply(self, grant: quotas.Grant | None) -> None:
        """Apply the part of a response."""
        if grant is None:
            return
        now = self._now()
        if not self.quotas.apply(grant, now):
            events.emit(
                "quota_grant_ignored", epoch=grant.epoch, number=grant.number
            )
        elif grant.rows:
            self._granted.set()
            self._granted = anyio.Event()
            events.emit(
                "quota_granted",
                epoch=grant.epoch,
                tenants=len(grant.rows),
                tokens=sum(row.tokens for row in grant.rows),
            )

    # Coordinator

    def receive(self, host: str, report: quotas.Report | None) -> bool:
        """Apply the part of a report; return whether it is urgent.

        Parameters
        ----------
        host : str
            The reporting host.
        report : quotas.Report or None
            Its part, None without quotas.
        """
        if report is None or not self._coordinator.epoch:
            return False
        now = self._now()
        self._start_epoch(now)
        previous = self._coordinator.previous
        if previous.is_settled and host == previous.host:
            # A host that reports leads no longer, nor does a process of it
            # that has ended.
            self._is_settled = True
        self._advance(now)
        self._allocator.receive(host, report, now)
        return report.is_urgent or report.epoch != self._epoch

    def grant(
        self, host: str, report: quotas.Report | None
    ) -> quotas.Grant | None:
        """Return the part of the response to a host's report."""
        if (
            report is None
            or not self._coordinator.is_active
            or self._epoch != self._coordinator.epoch
        ):
            return None
        now = self._now()
        self._advance(now)
        return self._allocator.grant(host, report.number, now)

    def _start_epoch(self, now: float) -> None:
        if self._epoch == self._coordinator.epoch:
            return
        self._epoch = self._coordinator.epoch
        self._is_settled = False
        self._allocator = quota_allocator.QuotaAllocator(
            self._epoch, self._coordinator.leadership.quota_hosts, self._limits
        )
        self._allocator.configure(self._tenants, now)

    def _advance(self, now: float) -> None:
        was_allocating = self._allocator.is_allocating
        is_settled = self._is_settled or self._coordinator.is_settled
        for host in self._allocator.advance(is_settled, now):
            events.emit("quota_host_expired", expired=host)
        if self._allocator.is_allocating and not was_allocating:
            events.emit("quota_allocation_started", epoch=self._epoch)

    async def run(self) -> None:
        """Keep the stored list of hosts current until cancelled."""
        while True:
            await anyio.sleep(LIST_INTERVAL_SECONDS)
            await self.store_hosts()

    async def store_hosts(self) -> None:
        """Store the list of hosts if it has changed."""
        epoch, allocator = self._epoch, self._allocator
        if not self._coordinator.is_active or epoch != self._coordinator.epoch:
            return
        self._advance(self._now())
        hosts = allocator.required_hosts
        if hosts == allocator.listed_hosts:
            return
        # A failed append may be applied later.
        allocator.set_listed_hosts(hosts & allocator.listed_hosts)
        if await self._coordinator.store_quota_hosts(epoch, sorted(hosts)):
            allocator.set_listed_hosts(hosts)
            events.emit("quota_hosts_stored", hosts=len(hosts), epoch=epoch)

    def add_gauges(self, registry: counters.Registry) -> None:
        """Register the gauges of the quotas."""
        registry.gauge(
            "quota_shares", lambda: self.quotas.totals(self._now()).shares
        )
        registry.gauge(
            "quota_single_tokens",
            lambda: self.quotas.totals(self._now()).tokens,
        )
        registry.gauge(
            "quota_grant_age_seconds",
            lambda: self.quotas.grant_age(self._now()),
        )
