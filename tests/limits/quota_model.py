"""Hosts that divide quotas, in virtual time, with faults of all kinds.

The exchange and the allocator of each host are the real ones. The store, the
links, the election of the coordinator and the callers are models.
"""

from __future__ import annotations

import bisect
import heapq
import random
import typing

from agatestile.assignment import eras
from agatestile.assignment import leases
from agatestile.assignment import predecessors
from agatestile.assignment import records
from agatestile.catalog import configuration
from agatestile.catalog import tenants
from agatestile.limits import quotas
from agatestile.node import quota_exchange
from agatestile.node import settings

BOUNDS = settings.Bounds()
NARROW_BOUNDS = settings.Bounds(quota_overage=0.0, quota_slack=0.0)
"""Bounds without a reserve, which show each additional request."""

STEP_SECONDS = 0.05
REPORT_TIMEOUT_SECONDS = 1.0
REPORT_HOLD_SECONDS = 0.25
MEMBERSHIP_SECONDS = 1.5

TENANTS = (
    tenants.Tenant("large", None, 60.0, 60.0),
    tenants.Tenant("small", None, 3.0, 2.0),
    tenants.Tenant("no burst", None, 20.0, 0.0),
    tenants.Tenant("fraction", None, 0.7, 0.5),
)


def configured(
    *found: tenants.Tenant,
) -> configuration.Configuration:
    """Return a configuration with tenants."""
    by_name = {one.name: one for one in found}
    return configuration.Configuration(
        1,
        {},
        {},
        configuration.CallerLimits(),
        tenants.Tenants({}, by_name),
    )


class ModelCoordinator:
    """Leadership of one process, which the store may take away."""

    def __init__(self, cluster: Cluster, host: ModelHost) -> None:
        self._cluster = cluster
        self._host = host
        self.epoch = 0
        self.previous = records.Leadership(0, "")
        self.leadership = self.previous
        self.confirmed_at = -1e9
        self.expected_end = 0
        self.settles_at = 0.0

    @property
    def is_active(self) -> bool:
        lease_end = self.confirmed_at + leases.LEADER_LEASE_SECONDS
        return self.epoch > 0 and self._cluster.now < lease_end

    @property
    def is_settled(self) -> bool:
        return self.leadership.is_settled

    def lose(self) -> None:
        self.epoch = 0
        self.confirmed_at = -1e9

    def append(self, changed: records.Leadership) -> bool:
        """Store a leadership unless another host has appended."""
        cluster = self._cluster
        if not self.epoch or not cluster.has_store(self._host):
            return False
        if cluster.end != self.expected_end:
            self.lose()
            return False
        cluster.end += 1
        cluster.leadership = changed
        if cluster.random.random() < cluster.fault_rate * 0.05:
            # The response of the store is lost.
            return False
        self.expected_end = cluster.end
        self.leadership = changed
        return True

    async def store_quota_hosts(self, epoch: int, hosts: list[str]) -> bool:
        if epoch != self.epoch:
            return False
        leadership = self.leadership
        return self.append(
            records.Leadership(
                leadership.epoch,
                leadership.host,
                is_settled=leadership.is_settled,
                quota_hosts=hosts,
            )
        )


class ModelHost:
    """One host; its process may be replaced."""

    accepts_late_responses = False

    def __init__(self, cluster: Cluster, name: str) -> None:
        self._cluster = cluster
        self.name = name
        self.is_isolated = False
        self.frozen_until = 0.0
        self.down_until = 0.0
        self.generation = 0
        self.weight = 1.0
        self.start()

    def start(self) -> None:
        """Start a process."""
        cluster = self._cluster
        self.generation += 1
        self.outstanding = 0
        self.coordinator = ModelCoordinator(cluster, self)
        self.exchange = quota_exchange.QuotaExchange(
            self.coordinator,
            cluster.bounds,
            self.generation,
            lambda: cluster.now,
        )
        self.exchange.on_configuration(configured(*cluster.tenants))
        cluster.schedule(0.01, self, self.send_report)

    @property
    def is_running(self) -> bool:
        now = self._cluster.now
        return now >= self.down_until and now >= self.frozen_until

    def send_report(self) -> None:
        cluster = self._cluster
        report = self.exchange.report()
        self.outstanding = identifier = cluster.next_identifier()
        target = cluster.coordinator_for(self)
        cluster.schedule(
            REPORT_TIMEOUT_SECONDS, self, lambda: self._give_up(identifier)
        )
        if target is None or report is None:
            return
        found = target

        def arrive() -> None:
            if cluster.is_reachable(self, found):
                found.handle(self, identifier, report)

        if not cluster.is_lost():
            cluster.schedule(cluster.delay(), found, arrive)

    def _give_up(self, identifier: int) -> None:
        if self.outstanding == identifier:
            self.outstanding = 0
            self._cluster.schedule(0.3, self, self.send_report)

    def handle(
        self, sender: ModelHost, identifier: int, report: quotas.Report
    ) -> None:
        """Handle the report of another host."""
        cluster = self._cluster
        if not self.coordinator.is_active:
            return
        hold = REPORT_HOLD_SECONDS * cluster.random.random()
        if self.exchange.receive(sender.name, report):
            hold = 0.0

        def respond() -> None:
            grant = self.exchange.grant(sender.name, report)
            if grant is not None and not cluster.is_lost():
                cluster.schedule(
                    cluster.delay(),
                    sender,
                    lambda: sender.on_response(self, identifier, grant),
                )

        cluster.schedule(hold, self, respond)

    def on_response(
        self, target: ModelHost, identifier: int, grant: quotas.Grant
    ) -> None:
        """Apply a response unless the report was given up."""
        cluster = self._cluster
        if not cluster.is_reachable(self, target):
            return
        if self.outstanding == identifier or self.accepts_late_responses:
            self.exchange.apply(grant)
        if self.outstanding == identifier:
            self.outstanding = 0
            cluster.schedule(0.01, self, self.send_report)


class Cluster:
    """Hosts with a store, links and callers.

    Parameters
    ----------
    seed : int
        Seed of all random decisions.
    host_count : int
        Number of hosts.
    fault_rate : float
        Frequency of faults, 0 for none.
    found : tuple of Tenant
        Tenants of the configuration.
    bounds : settings.Bounds
        Bounds on the overshoot.
    """

    def __init__(
        self,
        seed: int,
        host_count: int = 6,
        fault_rate: float = 1.0,
        found: tuple[tenants.Tenant, ...] = TENANTS,
        bounds: settings.Bounds = BOUNDS,
    ) -> None:
        self.bounds = bounds
        self.limits = quotas.Limits.from_bounds(
            bounds.quota_window, bounds.quota_overage, bounds.quota_slack
        )
        self.random = random.Random(seed)
        self.now = 1000.0
        self.end = 0
        self.leadership = records.Leadership(0, "")
        self.leader: ModelHost | None = None
        self.joined_at = -1e9
        self.fault_rate = fault_rate
        self.tenants = found
        self.broken = ""
        self.ran_by_tenant: dict[str, list[float]] = {
            one.name: [] for one in found
        }
        self.offered_by_tenant: dict[str, list[float]] = {
            one.name: [] for one in found
        }
        self._queue: list[
            tuple[float, int, ModelHost, int, typing.Callable[[], None]]
        ] = []
        self._identifier = 0
        self.hosts: list[ModelHost] = []
        for index in range(host_count):
            self.hosts.append(ModelHost(self, f"host-{index}"))

    def next_identifier(self) -> int:
        self._identifier += 1
        return self._identifier

    def schedule(
        self,
        delay: float,
        host: ModelHost,
        action: typing.Callable[[], None],
    ) -> None:
        """Call an action in a process of a host that still runs then."""
        self._identifier += 1
        heapq.heappush(
            self._queue,
            (
                self.now + delay,
                self._identifier,
                host,
                host.generation,
                action,
            ),
        )

    def delay(self) -> float:
        if self.random.random() < 0.1 * self.fault_rate:
            return self.random.uniform(0.1, 3.0)
        return self.random.uniform(0.002, 0.04)

    def is_lost(self) -> bool:
        return self.random.random() < 0.03 * self.fault_rate

    def is_reachable(self, one: ModelHost, other: ModelHost) -> bool:
        return one.is_isolated == other.is_isolated

    def has_store(self, host: ModelHost) -> bool:
        return host.is_running and not host.is_isolated

    def coordinator_for(self, host: ModelHost) -> ModelHost | None:
        if not host.is_isolated and self.leader is not None:
            return self.leader
        active = [
            one
            for one in self.hosts
            if self.is_reachable(one, host) and one.coordinator.is_active
        ]
        return self.random.choice(active) if active else None

    # Leadership

    def _renew_leadership(self) -> None:
        for host in self.hosts:
            coordinator = host.coordinator
            if not coordinator.epoch or not self.has_store(host):
                continue
            if self.end != coordinator.expected_end:
                coordinator.lose()
                continue
            coordinator.confirmed_at = self.now
            if host is self.leader:
                self.joined_at = self.now
            if (
                not coordinator.is_settled
                and self.now >= coordinator.settles_at
            ):
                coordinator.append(coordinator.leadership.settled())
        if self.leader is not None and not self.leader.coordinator.epoch:
            self.leader = None
        if self.now < self.joined_at + MEMBERSHIP_SECONDS:
            return
        candidates = [one for one in self.hosts if self.has_store(one)]
        if candidates:
            self._take_over(self.random.choice(candidates))

    def _take_over(self, host: ModelHost) -> None:
        previous = self.leadership
        earlier = next(
            (one for one in self.hosts if one.name == previous.host), None
        )
        leadership = eras.successor(previous, {}, 0, host.name)
        is_settled = earlier is None
        if earlier is not None and (
            earlier is host
            or (earlier.is_running and self.is_reachable(earlier, host))
        ):
            is_settled = previous.is_settled and earlier is not host
            earlier.coordinator.lose()
        self.end += 1
        coordinator = host.coordinator
        coordinator.epoch = leadership.epoch
        coordinator.previous = previous
        coordinator.confirmed_at = self.joined_at = self.now
        coordinator.settles_at = self.now + predecessors.SETTLING_SECONDS
        if is_settled:
            leadership = leadership.settled()
        coordinator.leadership = self.leadership = leadership
        coordinator.expected_end = self.end
        self.leader = host

    # Faults

    def restart(self, host: ModelHost, seconds: float) -> None:
        host.down_until = self.now + seconds
        host.generation += 1
        host.coordinator.lose()
        self.schedule(seconds, host, host.start)

    def _cause_fault(self) -> None:
        host = self.random.choice(self.hosts)
        if self.leader is not None and self.random.random() < 0.4:
            host = self.leader
        kind = self.random.random()
        length = self.random.choice([0.3, 1.0, 3.0, 9.0, 14.0])
        if kind < 0.25:
            self.restart(host, min(length, 3.0))
        elif kind < 0.5:
            host.frozen_until = self.now + length
        elif kind < 0.8:
            for one in self.hosts:
                if one is host or self.random.random() < 0.3:
                    one.is_isolated = True
        elif kind < 0.85:
            for one in self.hosts:
                self.restart(one, self.random.uniform(0.1, 2.0))
        elif len(self.hosts) < 10:
            self.hosts.append(ModelHost(self, f"host-{len(self.hosts)}"))
        if self.random.random() < 0.5:
            for one in self.hosts:
                one.is_isolated = False

    # Callers

    def offer(self, host: ModelHost, tenant: str, retries: int = 0) -> None:
        """Send a request to a host, again after a refusal if allowed."""
        admission = host.exchange.quotas.admit(tenant, self.now)
        if admission.wait > 0.0:
            if retries:
                self.schedule(
                    admission.wait,
                    host,
                    lambda: self.offer(host, tenant, retries - 1),
                )
            return
        held = host.exchange.quotas
        if self.random.random() < 0.2 * self.fault_rate:
            delay = self.random.choice([0.0, 0.1, 1.0, 4.0])
            self.schedule(
                delay,
                host,
                lambda: held.give_back(tenant, admission.number, self.now),
            )
            return
        bisect.insort(self.ran_by_tenant[tenant], self.now)
        self.schedule(
            self.random.uniform(0.0, 0.6),
            host,
            lambda: held.finish(tenant, admission.number),
        )

    def offer_greedily(self) -> None:
        """Send as much as hosts admit to some of them."""
        for host in self.hosts:
            if not host.is_running:
                continue
            for one in self.tenants:
                mean = host.weight * one.rate * STEP_SECONDS
                count = int(mean + self.random.random())
                if self.random.random() < 0.02:
                    count += int(one.burst) + 3
                for _ in range(count):
                    self.offer(host, one.name)

    def offer_demand(self, ratio: float, retries: int = 1) -> None:
        """Send a part of the quota, divided evenly at random."""
        for one in self.tenants:
            mean = ratio * one.rate * STEP_SECONDS
            # A binomial distribution with about the variance of arrivals.
            for _ in range(20):
                if self.random.random() < mean / 20:
                    host = self.random.choice(self.hosts)
                    if host.is_running:
                        self.offered_by_tenant[one.name].append(self.now)
                        self.offer(host, one.name, retries)

    def run(
        self,
        seconds: float,
        offer: typing.Callable[[], None],
    ) -> None:
        """Let virtual time pass."""
        until = self.now + seconds
        step = 0
        while self.now < until:
            step += 1
            next_step = self.now + STEP_SECONDS
            while self._queue and self._queue[0][0] <= next_step:
                self._run_next()
            self.now = next_step
            if self.fault_rate:
                self._check_hosts()
            if self.broken:
                return
            if step % 5 == 0:
                self._renew_leadership()
            if step % 2 == 0:
                self._store_hosts()
            if self.random.random() < 0.02 * self.fault_rate:
                self._cause_fault()
            if step % 60 == 0 and self.fault_rate:
                for host in self.hosts:
                    host.weight = self.random.choice([0.0, 0.1, 1.0, 4.0])
            offer()

    def _run_next(self) -> None:
        at, _, host, generation, action = heapq.heappop(self._queue)
        if generation != host.generation:
            return
        if at < host.frozen_until:
            heapq.heappush(
                self._queue,
                (
                    host.frozen_until,
                    self.next_identifier(),
                    host,
                    generation,
                    action,
                ),
            )
            return
        self.now = max(self.now, at)
        action()

    def _store_hosts(self) -> None:
        for host in self.hosts:
            if host.is_running and host.coordinator.epoch:
                try:
                    host.exchange.store_hosts().send(None)
                except StopIteration:
                    pass

    # Checks

    def _check_hosts(self) -> None:
        """Check what hosts have now, which the windows show only later."""
        for one in self.tenants:
            found = []
            for host in self.hosts:
                held = host.exchange.quotas
                # What a suspended host does first when it continues.
                held._expire(self.now)
                bucket = held._bucket_by_tenant.get(one.name)
                if bucket is not None and self.now >= host.down_until:
                    found.append(bucket)
            shares = sum(bucket.share for bucket in found)
            if shares > 1.0 + 1e-6:
                self.broken = f"shares of {one.name} are {shares:.3f}"
            tokens = sum(
                bucket.tokens
                + len(bucket._returnable)
                + bucket.held_single_tokens
                for bucket in found
            )
            if tokens > self.limits.capacity(one) + 1e-6:
                self.broken = f"tokens of {one.name} are {tokens:.1f}"

    def worst_excess(self) -> float:
        """Return the largest excess over the quota in any window.

        Positive if the derived bound is broken.
        """
        worst = -1e9
        for one in self.tenants:
            allowed = (
                self.limits.capacity(one) + one.rate * self.bounds.quota_window
            )
            times = self.ran_by_tenant[one.name]
            for index, at in enumerate(times):
                first = bisect.bisect_left(
                    times, at - self.bounds.quota_window
                )
                worst = max(worst, index + 1 - first - allowed)
        return worst

    def served(self, tenant: str, start: float) -> float:
        """Return the part of the requests since `start` that were served."""
        times = self.ran_by_tenant[tenant]
        offered = self.offered_by_tenant[tenant]
        count = len(times) - bisect.bisect_left(times, start)
        return count / max(
            1, len(offered) - bisect.bisect_left(offered, start)
        )
