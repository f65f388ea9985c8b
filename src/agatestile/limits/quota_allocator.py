"""Allocation of the shares in the quotas of tenants to hosts.

The coordinator owns what is not allocated. It accrues tokens like a host and
gives single ones to hosts whose part of a tenant's requests is too small for
a share. docs/design/quotas.md derives the bound.
"""

from __future__ import annotations

import math
import typing

from agatestile.limits import quotas

if typing.TYPE_CHECKING:
    from agatestile.catalog import tenants as tenants_module

EXPIRY_SECONDS = quotas.LEASE_SECONDS * 1.02 + 0.5
"""Time without a report after which a host certainly uses nothing any longer:
its lease, by a clock that runs up to 2% slow, and a margin."""

LATE_REPORT_SECONDS = 3.0
"""Longest time after which a copy of a report arrives that its host has given
up."""

ALLOCATION_INTERVAL_SECONDS = 1.0
"""Interval between allocations of a tenant."""

DEMAND_DECAY_SECONDS = 4.0
"""Time constant with which earlier requests lose their weight. It covers
several reports of a host; a surge of 6.5 s is followed within it."""

ALLOCATED_FRACTION = 0.95
"""Fraction that is allocated in shares; the rest yields single tokens for
hosts that get demand for the first time."""

EVEN_FRACTION = 0.2
"""Fraction of the shares that is divided evenly among the hosts that have
one, as demand varies."""

MIN_SHARE_TOKENS = 8.0
"""Smallest capacity of a share. Hosts below it get single tokens: a bucket of
few tokens refuses many requests that arrive at random times."""

RELEASE_RATIO = 0.5
"""Part of the smallest share below which a host loses its share, so that it
does not get and lose one in turn."""

MIN_GROWTH = 0.1
"""Relative growth of a share that is worth a message."""

MIN_SHRINKAGE = 0.03
"""The same if a share shrinks. It is smaller than what is not allocated, so
that shares which stay too large leave room for further hosts."""

NEW_HOST_INTERVAL_SECONDS = 0.25
"""Interval between allocations while further hosts get demand."""

GROWTH_PER_GRANT = 2.0
"""Multiple of an even share by which a small share grows at once. The first
host that reports demand would get the share of the others otherwise."""

WAITING_SECONDS = 1.0
"""Time for which a host that got no token counts as waiting."""

PLACED_FRACTION = 0.85
"""Fraction of the tokens of a tenant that is placed on hosts in advance; the
rest is kept for hosts that refuse requests."""

EVEN_PLACED_FRACTION = 0.5
"""Fraction of these that is placed evenly, the others by demand."""

MAX_PLACED_TENANTS = 200
"""Number of tenants up to which tokens are placed on hosts without demand, as
each of them is considered for each host."""

PLACE_INTERVAL_SECONDS = 2.0
"""Interval in which they are considered."""

MAX_GRANT_ROWS = 100
"""Tenants in a response. At about 25 bytes each and four responses per second
these are 10 KB/s."""

FORGOTTEN_REQUESTS = 0.01
"""Weight of requests below which a host has no demand."""

EPSILON = 1e-9
"""Difference below which shares count as equal."""


class _Demand(typing.NamedTuple):
    requests: float
    updated_at: float

    def decayed(self, now: float) -> float:
        """Return the requests with their present weight."""
        elapsed = now - self.updated_at
        return self.requests * math.exp(-elapsed / DEMAND_DECAY_SECONDS)


class _Session:
    """What a host has, as far as the coordinator knows."""

    def __init__(self, process: int) -> None:
        self.process = process
        self.number = 0
        self.received_at = -math.inf
        self.is_established = False
        self.share_by_tenant: dict[str, float] = {}
        self.tokens_by_tenant: dict[str, int] = {}
        # Latest response, which the host has applied or will never apply.
        self.sent_number = 0
        self.sent_rows: list[quotas.GrantRow] = []
        self.wanted_by_tenant: dict[str, int] = {}
        self.due_tenants: dict[str, None] = {}
        self.placed_at = -math.inf


class _TenantQuota:
    """The coordinator's own share of a tenant, and what hosts may use.

    Attributes
    ----------
    share_by_host : dict of str to float
        Largest share that each host may use.
    tokens_by_host : dict of str to int
        Single tokens that each host may have.
    recalled_by_host : dict of str to int
        Single tokens that hosts are to drop.
    free_share : float
        Share that no host may use.
    tokens_on_hosts : int
        Sum of the single tokens of hosts.
    tokens : float
        Tokens of the coordinator's own share.
    """

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._burst = 0.0
        self._extra_tokens = 0
        self._refilled_at = now
        self.share_by_host: dict[str, float] = {}
        self.tokens_by_host: dict[str, int] = {}
        self.demand_by_host: dict[str, _Demand] = {}
        self.target_by_host: dict[str, float] = {}
        self.recalled_by_host: dict[str, int] = {}
        self.free_share = 1.0
        self.tokens_on_hosts = 0
        self.tokens = 0.0
        self._allocated_at = -math.inf
        self._allocated_hosts = 0
        self._allocated_requests = 0.0
        self._waiting_since_by_host: dict[str, float] = {}

    @property
    def capacity(self) -> float:
        """Largest number of tokens here and of single ones on hosts."""
        return self.free_share * self._burst + self._extra_tokens

    @property
    def allocatable_share(self) -> float:
        """Share that can be given away.

        The capacity of the rest has to cover the single tokens on hosts.
        """
        covered = max(0.0, self.tokens_on_hosts - self._extra_tokens)
        if covered <= 0.0:
            return self.free_share
        if self._burst <= 0.0:
            return 0.0
        return max(0.0, self.free_share - covered / self._burst)

    def configure(
        self,
        tenant: tenants_module.Tenant | None,
        limits: quotas.Limits,
        now: float,
    ) -> None:
        """Apply the quota of a configuration, None if there is none."""
        self.refill(now)
        if tenant is None:
            self._rate, self._burst, self._extra_tokens = 0.0, 0.0, 0
        else:
            self._rate = tenant.rate
            self._burst = limits.burst(tenant)
            self._extra_tokens = limits.tokens
        self._limit_tokens()

    def refill(self, now: float) -> None:
        """Add the tokens that have accrued."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self.tokens += elapsed * self.free_share * self._rate
        self._limit_tokens()

    def restart(self, now: float) -> None:
        """Begin without tokens, as others may have used them."""
        self._refilled_at = now
        self.tokens = 0.0

    def _limit_tokens(self) -> None:
        room = self.capacity - self.tokens_on_hosts
        self.tokens = max(0.0, min(self.tokens, room))

    def reserve(
        self, host: str, share: float, tokens: int, now: float
    ) -> None:
        """Set what a host may use."""
        held_share = self.share_by_host.get(host, 0.0)
        held_tokens = self.tokens_by_host.get(host, 0)
        if (share, tokens) == (held_share, held_tokens):
            return
        self.refill(now)
        if share != held_share:
            self.share_by_host[host] = share
            if not share:
                del self.share_by_host[host]
            allocated = math.fsum(self.share_by_host.values())
            self.free_share = max(0.0, 1.0 - allocated)
        if tokens != held_tokens:
            self.tokens_by_host[host] = tokens
            if not tokens:
                del self.tokens_by_host[host]
            self.tokens_on_hosts += tokens - held_tokens
        self._limit_tokens()

    def take(self, wanted: int, kept: float, now: float) -> int:
        """Take whole tokens, of which `kept` have to be left."""
        self.refill(now)
        taken = max(0, min(wanted, math.floor(self.tokens - kept)))
        self.tokens -= taken
        return taken

    def wait(self, host: str, now: float) -> float:
        """Return the time until a host may get a token, seconds."""
        self._waiting_since_by_host = {
            other: since
            for other, since in self._waiting_since_by_host.items()
            if now < since + WAITING_SECONDS
        }
        self._waiting_since_by_host[host] = now
        rate = self.free_share * self._rate
        missing = len(self._waiting_since_by_host) - self.tokens
        return missing / rate if rate > 0 and missing > 0 else 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the shares have to be allocated again."""
        interval = ALLOCATION_INTERVAL_SECONDS
        if len(self.demand_by_host) != self._allocated_hosts:
            interval = NEW_HOST_INTERVAL_SECONDS
        return now >= self._allocated_at + interval

    def placed_tokens(self, host: str, hosts: int, now: float) -> int:
        """Return how many single tokens a host should have.

        Parameters
        ----------
        host : str
            The host.
        hosts : int
            Number of hosts.
        now : float
            Clock, seconds.
        """
        part = EVEN_PLACED_FRACTION / max(1, hosts)
        own = self.demand_by_host.get(host)
        if own is not None and self._allocated_requests > 0.0:
            demand = min(1.0, own.decayed(now) / self._allocated_requests)
            part += (1.0 - EVEN_PLACED_FRACTION) * demand
        return math.ceil(PLACED_FRACTION * self.capacity * part)

    def add_demand(self, host: str, requests: int, now: float) -> None:
        """Add requests of a host to its demand."""
        known = self.demand_by_host.get(host, _Demand(0.0, now))
        self.demand_by_host[host] = _Demand(known.decayed(now) + requests, now)

    def allocate(self, now: float) -> set[str]:
        """Divide the quota by demand; return the hosts with other targets."""
        self._allocated_at = now
        requests_by_host = {}
        for host, demand in list(self.demand_by_host.items()):
            requests_by_host[host] = demand.decayed(now)
            if requests_by_host[host] < FORGOTTEN_REQUESTS:
                del self.demand_by_host[host]
        self._allocated_hosts = len(self.demand_by_host)
        self._allocated_requests = sum(requests_by_host.values())
        target_by_host = self._targets(requests_by_host)
        hosts = target_by_host.keys() | self.target_by_host.keys()
        changed = {
            host
            for host in hosts
            if target_by_host.get(host) != self.target_by_host.get(host)
        }
        self.target_by_host = target_by_host
        self._recall(requests_by_host)
        return changed | self.recalled_by_host.keys()

    def _recall(self, requests_by_host: dict[str, float]) -> None:
        """Recall tokens from hosts without use for them.

        All tokens could be on other hosts than those with demand otherwise,
        where they stay.
        """
        self.recalled_by_host = {}
        excess = math.ceil(
            self.tokens_on_hosts - PLACED_FRACTION * self.capacity
        )
        if excess <= 0:
            return
        for host in sorted(
            self.tokens_by_host,
            key=lambda one: requests_by_host.get(one, 0.0),
        ):
            if excess <= 0:
                break
            self.recalled_by_host[host] = min(
                excess, self.tokens_by_host[host]
            )
            excess -= self.recalled_by_host[host]

    def _targets(self, requests_by_host: dict[str, float]) -> dict[str, float]:
        total = sum(requests_by_host.values())
        allocated_tokens = ALLOCATED_FRACTION * self._burst
        if total <= 0 or allocated_tokens <= 0:
            return {}
        least = MIN_SHARE_TOKENS / allocated_tokens
        fraction_by_host = {}
        for host, requests in requests_by_host.items():
            is_holder = host in self.target_by_host
            ratio = RELEASE_RATIO if is_holder else 1.0
            if requests / total >= least * ratio:
                fraction_by_host[host] = requests / total
        target_by_host = {}
        for host, fraction in fraction_by_host.items():
            even = sum(fraction_by_host.values()) / len(fraction_by_host)
            target = ALLOCATED_FRACTION * (
                (1.0 - EVEN_FRACTION) * fraction + EVEN_FRACTION * even
            )
            before = self.target_by_host.get(host, 0.0)
            lowest = before * (1.0 - MIN_SHRINKAGE)
            if lowest <= target <= before * (1.0 + MIN_GROWTH):
                target = before
            target_by_host[host] = target
        return target_by_host


class QuotaAllocator:
    """Allocates the quotas of tenants to hosts in one epoch.

    It grants nothing until it knows what every host may use that an earlier
    coordinator has listed: the host reported after that coordinator had
    stopped, or its lease has ended since. What hosts have stays in force
    meanwhile.

    Parameters
    ----------
    epoch : int
        Epoch of the coordinator.
    listed_hosts : iterable of str
        Hosts that may use shares of earlier coordinators.
    limits : quotas.Limits
        What the bounds on overshoot permit.
    """

    def __init__(
        self,
        epoch: int,
        listed_hosts: typing.Iterable[str],
        limits: quotas.Limits,
    ) -> None:
        self._epoch = epoch
        self._listed_hosts = frozenset(listed_hosts)
        self._unknown_hosts = set(self._listed_hosts)
        self._settled_at: float | None = None
        self._limits = limits
        self._tenant_by_name: dict[str, tenants_module.Tenant] = {}
        self._quota_by_tenant: dict[str, _TenantQuota] = {}
        self._session_by_host: dict[str, _Session] = {}

    @property
    def is_allocating(self) -> bool:
        """Whether what all hosts may use is known."""
        return self._settled_at is not None and not self._unknown_hosts

    @property
    def required_hosts(self) -> frozenset[str]:
        """Hosts that have to be in the stored list."""
        return frozenset(self._session_by_host) | self._unknown_hosts

    @property
    def listed_hosts(self) -> frozenset[str]:
        """Hosts that are certainly in the stored list."""
        return self._listed_hosts

    def set_listed_hosts(self, hosts: typing.Iterable[str]) -> None:
        """Set the hosts that are certainly in the stored list."""
        self._listed_hosts = frozenset(hosts)

    def configure(
        self, tenants: typing.Iterable[tenants_module.Tenant], now: float
    ) -> None:
        """Apply the quotas of a configuration."""
        self._tenant_by_name = {
            one.name: one for one in tenants if one.rate > 0
        }
        for name, quota in self._quota_by_tenant.items():
            quota.configure(self._tenant_by_name.get(name), self._limits, now)

    def _start(self, now: float) -> None:
        """Begin to allocate, as what all hosts may use is known."""
        for quota in self._quota_by_tenant.values():
            quota.restart(now)

    def advance(self, is_settled: bool, now: float) -> list[str]:
        """Release what hosts without reports certainly use no longer.

        Parameters
        ----------
        is_settled : bool
            Whether no earlier coordinator responds to hosts any longer.
        now : float
            Clock, seconds.

        Returns
        -------
        list of str
            The hosts that have not reported for long.
        """
        if is_settled and self._settled_at is None:
            self._settled_at = now
            if not self._unknown_hosts:
                self._start(now)
        expired = [
            host
            for host, session in self._session_by_host.items()
            if now >= session.received_at + EXPIRY_SECONDS
        ]
        for host in expired:
            self._release(host, now)
            del self._session_by_host[host]
        if (
            self._settled_at is not None
            and self._unknown_hosts
            and now >= self._settled_at + EXPIRY_SECONDS
        ):
            self._unknown_hosts.clear()
            self._start(now)
        return expired

    def _release(self, host: str, now: float) -> None:
        for quota in self._quota_by_tenant.values():
            if host in quota.share_by_host or host in quota.tokens_by_host:
                quota.reserve(host, 0.0, 0, now)
            quota.demand_by_host.pop(host, None)
            quota.target_by_host.pop(host, None)

    def _quota(self, tenant: str, now: float) -> _TenantQuota:
        quota = self._quota_by_tenant.get(tenant)
        if quota is None:
            quota = self._quota_by_tenant[tenant] = _TenantQuota(now)
            known = self._tenant_by_name.get(tenant)
            quota.configure(known, self._limits, now)
        return quota

    def receive(self, host: str, report: quotas.Report, now: float) -> None:
        """Apply the report of a host.

        Parameters
        ----------
        host : str
            The host.
        report : quotas.Report
            Its report.
        now : float
            Clock, seconds.
        """
        session = self._session_by_host.get(host)
        if (
            session is None
            or report.process > session.process
            # The time of day, from which the number comes, was set back.
            or (
                report.process != session.process
                and now >= session.received_at + LATE_REPORT_SECONDS
            )
        ):
            if session is not None:
                # The earlier process has ended.
                self._release(host, now)
            session = self._session_by_host[host] = _Session(report.process)
        elif (
            report.process < session.process or report.number <= session.number
        ):
            # A late copy of a report that the host has given up.
            return
        session.number = report.number
        session.received_at = now
        if report.epoch != self._epoch:
            session.is_established = False
            return
        if report.is_full:
            self._establish(host, session, report, now)
        elif session.is_established:
            self._settle_sent(host, session, report.applied, now)
        else:
            return
        if self._settled_at is not None and host in self._unknown_hosts:
            self._unknown_hosts.remove(host)
            if not self._unknown_hosts:
                self._start(now)
        for row in report.rows:
            self._apply_row(host, session, row, now)

    def _establish(
        self, host: str, session: _Session, report: quotas.Report, now: float
    ) -> None:
        self._release(host, now)
        session.is_established = True
        session.sent_rows = []
        session.share_by_tenant = {
            row.tenant: row.share or 0.0 for row in report.rows
        }
        session.tokens_by_tenant = {
            row.tenant: row.tokens for row in report.rows
        }
        for row in report.rows:
            self._reserve(host, session, row.tenant, now)
        session.placed_at = -math.inf

    def _settle_sent(
        self, host: str, session: _Session, applied: int, now: float
    ) -> None:
        """Apply whether the host has applied the latest response."""
        sent_rows, session.sent_rows = session.sent_rows, []
        is_applied = applied == session.sent_number
        for row in sent_rows:
            name = row.tenant
            if is_applied:
                session.share_by_tenant[name] = row.share
                # Of dropped ones only the host knows how many there were.
                session.tokens_by_tenant[name] = session.tokens_by_tenant.get(
                    name, 0
                ) + max(0, row.tokens)
            else:
                session.due_tenants[name] = None
            self._reserve(host, session, name, now)

    def _reserve(
        self, host: str, session: _Session, tenant: str, now: float
    ) -> None:
        """Reserve what the host certainly has."""
        self._quota(tenant, now).reserve(
            host,
            session.share_by_tenant.get(tenant, 0.0),
            session.tokens_by_tenant.get(tenant, 0),
            now,
        )

    def _apply_row(
        self, host: str, session: _Session, row: quotas.Row, now: float
    ) -> None:
        quota = self._quota(row.tenant, now)
        session.tokens_by_tenant[row.tenant] = row.tokens
        self._reserve(host, session, row.tenant, now)
        if row.demand:
            quota.add_demand(host, row.demand, now)
        if row.refused:
            session.wanted_by_tenant[row.tenant] = row.refused
        session.due_tenants[row.tenant] = None

    def _place(self, session: _Session) -> None:
        """Consider tokens of all tenants for a host."""
        if len(self._tenant_by_name) <= MAX_PLACED_TENANTS:
            session.due_tenants |= dict.fromkeys(self._tenant_by_name)

    def grant(self, host: str, number: int, now: float) -> quotas.Grant | None:
        """Return the response to a report.

        Parameters
        ----------
        host : str
            The host.
        number : int
            Number of the report.
        now : float
            Clock, seconds.

        Returns
        -------
        quotas.Grant or None
            None if the host has sent a later report.
        """
        session = self._session_by_host.get(host)
        if session is None or session.number != number:
            return None
        if not session.is_established:
            return quotas.Grant(number, self._epoch, True, False)
        session.sent_number = number
        session.sent_rows = []
        if self.is_allocating and host in self._listed_hosts:
            if now >= session.placed_at + PLACE_INTERVAL_SECONDS:
                session.placed_at = now
                self._place(session)
            session.sent_rows = self._grant_rows(host, session, now)
        return quotas.Grant(
            number,
            self._epoch,
            False,
            self._settled_at is not None,
            session.sent_rows,
            self.is_allocating,
        )

    def _grant_rows(
        self, host: str, session: _Session, now: float
    ) -> list[quotas.GrantRow]:
        rows = []
        due = list(session.due_tenants)
        session.due_tenants = dict.fromkeys(due[MAX_GRANT_ROWS:])
        for name in due[:MAX_GRANT_ROWS]:
            if name not in self._tenant_by_name:
                continue
            row = self._grant_row(host, session, name, now)
            if row is not None:
                rows.append(row)
        return rows

    def _grant_row(
        self, host: str, session: _Session, name: str, now: float
    ) -> quotas.GrantRow | None:
        quota = self._quota(name, now)
        quota.refill(now)
        if quota.is_due(now):
            for changed in quota.allocate(now):
                other = self._session_by_host.get(changed)
                if other is not None and other is not session:
                    other.due_tenants[name] = None
        held = session.share_by_tenant.get(name, 0.0)
        target = quota.target_by_host.get(host, 0.0)
        share = target
        if target > held:
            even = GROWTH_PER_GRANT / len(self._session_by_host)
            growth = min(quota.allocatable_share, max(held, even))
            share = min(target, held + growth)
            if share < target - EPSILON:
                # Others may still have to report smaller shares.
                session.due_tenants[name] = None
        wanted = session.wanted_by_tenant.pop(name, 0)
        held_tokens = session.tokens_by_tenant.get(name, 0)
        reserved = max(held, share)
        quota.reserve(host, reserved, held_tokens, now)
        level = 0
        if not share:
            level = quota.placed_tokens(host, len(self._session_by_host), now)
        tokens = _take_tokens(quota, wanted, held_tokens, level, now)
        quota.reserve(host, reserved, held_tokens + tokens, now)
        if not tokens:
            tokens = -quota.recalled_by_host.get(host, 0)
        quota.recalled_by_host.pop(host, None)
        wait = 0.0
        if wanted and not tokens and not share:
            wait = quota.wait(host, now)
        if share == held and not tokens and not wait:
            return None
        return quotas.GrantRow(name, share, tokens, wait)


def _take_tokens(
    quota: _TenantQuota, wanted: int, held: int, level: int, now: float
) -> int:
    """Take single tokens for a host.

    Parameters
    ----------
    quota : _TenantQuota
        Quota of the tenant.
    wanted : int
        Requests that the host refused since its last report.
    held : int
        Single tokens that it has.
    level : int
        Single tokens that it should have.
    now : float
        Clock, seconds.
    """
    if wanted > held:
        # Other hosts may have refused requests too.
        most = max(1, math.floor(quota.tokens / 2.0))
        return quota.take(min(wanted - held, most), 0.0, now)
    kept = (1.0 - PLACED_FRACTION) * quota.capacity
    return quota.take(level - held, kept, now)
