"""Quotas of tenants on one host.

All hosts together admit at most the rate and the burst of a tenant. A host
has a share of both, which the coordinator allocated to it, or single tokens
that the coordinator took from its own share. The shares of all hosts and of
the coordinator never exceed 1 in total, and a bucket starts empty, so that
the quota holds in every window while shares move. docs/design/quotas.md
derives the bound.

Times come from a clock that includes suspensions: a suspended host must not
use a share that the coordinator has given to another one meanwhile.
"""

from __future__ import annotations

import collections
import math
import typing

import msgspec

if typing.TYPE_CHECKING:
    from agatestile.catalog import tenants as tenants_module

LEASE_SECONDS = 12.0
"""How long a host uses its shares and tokens after the last report that the
coordinator answered. It covers the loss of a coordinator: 3 s until the next
one leads and 8.6 s until it allocates."""

USED_FRACTION = 0.8
"""Fraction of the permitted overage and slack that is used."""

SEND_DELAY_FRACTION = 0.375
"""Fraction of the usable overage for requests that are sent later than they
were admitted; the rest allows a larger burst."""

COORDINATOR_WAIT_SECONDS = 0.35
"""Time until the coordinator has answered a host without a token: the longest
interval between reports and the transfer."""

MIN_WAIT_SECONDS = 1e-3
"""Shortest wait of a refused request, as 0 means that it is admitted."""

MAX_WAIT_SECONDS = 3.0
"""Longest wait that a refused request is told; demand changes within it."""

RETURN_SECONDS = 0.3
"""Time after which a request keeps the single token that it took, so that the
coordinator can replace it. Most refusals take less."""

DEMAND_INTERVAL_SECONDS = 1.0
"""Interval between reports of the demand of a tenant whose tokens suffice."""

URGENT_INTERVAL_SECONDS = 0.25
"""Shortest interval between reports to be answered at once."""

MAX_GRANT_AGE_SECONDS = 1.5
"""Age of the latest grant above which no coordinator allocates at present.
Reports are answered within `COORDINATOR_WAIT_SECONDS`."""

MIN_EVEN_TOKENS = 1.0
"""Tokens of a tenant per host from which it usually has shares on hosts."""

UNSHARED_FRACTION = 0.25
"""Part of an even share that a host without a share of such a tenant uses
while no coordinator allocates."""

MAX_REPORT_ROWS = 100
"""Tenants in a report. At about 25 bytes each and four reports per second
these are 10 KB/s."""


class Limits(typing.NamedTuple):
    """What the bounds on overshoot permit.

    Attributes
    ----------
    send_delay : float
        Longest time between the admission of a request and its sending,
        seconds.
    extra_burst : float
        Time for whose rate the burst is increased, seconds.
    tokens : int
        Tokens of each tenant beyond its burst.
    """

    send_delay: float
    extra_burst: float
    tokens: int

    @classmethod
    def from_bounds(
        cls, window: float, overage: float, slack: float
    ) -> Limits:
        """Divide the permitted overshoot.

        Parameters
        ----------
        window : float
            Length of the window in which requests are counted, seconds.
        overage : float
            Fraction by which the quota may be exceeded.
        slack : float
            Requests that are permitted in addition.
        """
        usable = USED_FRACTION * overage * window
        send_delay = SEND_DELAY_FRACTION * usable
        return cls(send_delay, usable - send_delay, int(USED_FRACTION * slack))

    def burst(self, tenant: tenants_module.Tenant) -> float:
        """Return the capacity of all buckets of a tenant together."""
        return tenant.burst + self.extra_burst * tenant.rate

    def capacity(self, tenant: tenants_module.Tenant) -> float:
        """Return how many tokens of a tenant may exist at a moment."""
        return self.burst(tenant) + self.tokens


class Row(msgspec.Struct, array_like=True):
    """What a host reports of a tenant.

    Attributes
    ----------
    tenant : str
        Name of the tenant.
    demand : int
        Requests since the last report that the coordinator answered.
    refused : int
        Those among them that were refused.
    tokens : int
        Single tokens that the host has, including those of requests that
        may still give theirs back.
    share : float or None
        Share that the host has; None except in a full report.
    """

    tenant: str
    demand: int
    refused: int
    tokens: int
    share: float | None = None


class Report(msgspec.Struct, array_like=True):
    """Changes since the last report that the coordinator answered.

    Attributes
    ----------
    process : int
        Identifies the process; a later one of the host has a higher number.
    number : int
        Number of the report within the process.
    epoch : int
        Epoch of the coordinator that knows what the host has, 0 if none.
    applied : int
        Number of the latest report whose grant the host has applied.
    is_full : bool
        Whether the rows are all tenants of which the host has something.
    is_urgent : bool
        Whether a tenant with demand has neither share nor tokens on the
        host.
    rows : list of Row
        Tenants with changes.
    """

    process: int
    number: int
    epoch: int
    applied: int
    is_full: bool
    is_urgent: bool
    rows: list[Row]


class GrantRow(msgspec.Struct, array_like=True):
    """What the coordinator grants of a tenant.

    Attributes
    ----------
    tenant : str
        Name of the tenant.
    share : float
        New share of the host.
    tokens : int
        Single tokens in addition to those that the host has; negative to
        drop as many unused ones.
    wait : float
        Time until the coordinator expects to have a token for the host,
        seconds; 0.0 if none is wanted.
    """

    tenant: str
    share: float
    tokens: int = 0
    wait: float = 0.0


class Grant(msgspec.Struct, array_like=True):
    """Response of the coordinator to a report.

    Attributes
    ----------
    number : int
        Number of the report that it answers.
    epoch : int
        Epoch of the coordinator.
    needs_full : bool
        Whether the coordinator has to know what the host has before it can
        grant anything.
    is_renewed : bool
        Whether the host may continue to use what it has.
    rows : list of GrantRow
        Tenants with changes.
    is_allocating : bool
        Whether the coordinator knows what every host has, so that it grants
        what is free.
    """

    number: int
    epoch: int
    needs_full: bool
    is_renewed: bool
    rows: list[GrantRow] = []
    is_allocating: bool = True


class Admission(typing.NamedTuple):
    """Result of a request for a token.

    Attributes
    ----------
    wait : float
        Time until a token is available, seconds; 0.0 if admitted.
    number : int
        Identifies the token of an admitted request, 0 if it needs none.
    """

    wait: float
    number: int = 0


UNLIMITED = Admission(0.0)
"""Admission of a request to which no quota applies."""


class Totals(typing.NamedTuple):
    """Figures for the gauges of a host.

    Attributes
    ----------
    shares : int
        Tenants of which the host has a share.
    tokens : int
        Single tokens that the host has.
    """

    shares: int
    tokens: int


class Bucket:
    """Tokens of one tenant on one host.

    Tokens and those of unfinished requests that may be given back never
    exceed the capacity, as the bound counts both as unused. When the bucket
    fills up, the oldest unfinished requests lose the right to give back.

    Attributes
    ----------
    share : float
        Share of the host, 0 to 1.
    tokens : float
        Tokens of the share.
    single_tokens : int
        Tokens from the coordinator's share.
    expected_at : float
        Clock when the coordinator expects to have another one, seconds.
    """

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._burst = 0.0
        self._refilled_at = now
        self._returnable: dict[int, None] = {}
        self._returnable_single: dict[int, float] = {}
        self.share = 0.0
        self.tokens = 0.0
        self.single_tokens = 0
        self.expected_at = -math.inf
        self._promised_until = -math.inf

    @property
    def held_single_tokens(self) -> int:
        """Single tokens that are unused or may be given back."""
        return self.single_tokens + len(self._returnable_single)

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Set the rate, in requests per second, and the burst."""
        if (rate, burst) != (self._rate, self._burst):
            self.refill(now)
            self._rate, self._burst = rate, burst
            self._limit_tokens()

    def set_share(self, share: float, now: float) -> None:
        """Set the share of the host."""
        self.refill(now)
        self.share = share
        self._limit_tokens()

    def scale_single_tokens(self, factor: float) -> None:
        """Reduce the single tokens, as the tenant's capacity has shrunk."""
        kept = math.floor(self.held_single_tokens * factor)
        while self.held_single_tokens > kept:
            if self.single_tokens:
                self.single_tokens -= 1
            else:
                self._returnable_single.popitem()

    def refill(self, now: float) -> None:
        """Add the tokens that have accrued."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self.tokens += elapsed * self.share * self._rate
        self._limit_tokens()

    def _limit_tokens(self) -> None:
        capacity = self.share * self._burst
        self.tokens = min(self.tokens, capacity)
        while self._returnable and (
            self.tokens + len(self._returnable) > capacity
        ):
            del self._returnable[next(iter(self._returnable))]

    def take(self, number: int, now: float) -> bool:
        """Take a token for a request; return whether there was one."""
        self.refill(now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            self._returnable[number] = None
            return True
        if self.single_tokens:
            self.single_tokens -= 1
            self._returnable_single[number] = now
            return True
        return False

    def finish(self, number: int) -> None:
        """Keep the token of a request that ran or may have run."""
        self._returnable.pop(number, None)
        self._returnable_single.pop(number, None)

    def end_returns(self, now: float) -> None:
        """Count the single tokens of requests that last long as used."""
        for number, taken_at in list(self._returnable_single.items()):
            if now < taken_at + RETURN_SECONDS:
                break
            del self._returnable_single[number]

    @property
    def has_changed(self) -> bool:
        """Whether the number of single tokens is about to change."""
        return bool(self._returnable_single)

    def give_back(self, number: int, now: float) -> None:
        """Return the token of a request that did not run."""
        self.refill(now)
        if number in self._returnable:
            del self._returnable[number]
            self.tokens += 1.0
        elif number in self._returnable_single:
            del self._returnable_single[number]
            self.single_tokens += 1

    def wait(self, now: float, is_repeat: bool = False) -> float:
        """Return the time until there is a token, seconds.

        Refused callers are told successive times, as one token serves one
        of them.

        Parameters
        ----------
        now : float
            Clock, seconds.
        is_repeat : bool, optional
            Whether the request was told a time before.
        """
        from_coordinator = max(
            COORDINATOR_WAIT_SECONDS, self.expected_at - now
        )
        rate = self.share * self._rate
        if self.share * self._burst < 1.0 or rate <= 0.0:
            return from_coordinator
        earliest = now + (1.0 - self.tokens) / rate
        if is_repeat:
            return max(MIN_WAIT_SECONDS, earliest - now)
        promised = max(earliest, self._promised_until + 1.0 / rate)
        self._promised_until = min(promised, now + MAX_WAIT_SECONDS)
        return max(MIN_WAIT_SECONDS, self._promised_until - now)


class HostQuotas:
    """Admits requests of tenants on one host.

    Parameters
    ----------
    process : int
        Number of this process, higher than those of earlier ones.
    limits : Limits
        What the bounds on overshoot permit.

    Attributes
    ----------
    limits : Limits
        What the bounds on overshoot permit.
    lease_until : float
        Clock until which shares and tokens may be used, seconds.
    """

    def __init__(self, process: int, limits: Limits) -> None:
        self._process = process
        self.limits = limits
        self.lease_until = -math.inf
        self._tenant_by_name: dict[str, tenants_module.Tenant] = {}
        self._bucket_by_tenant: dict[str, Bucket] = {}
        self._demand_by_tenant: collections.Counter[str] = (
            collections.Counter()
        )
        self._refused_by_tenant: collections.Counter[str] = (
            collections.Counter()
        )
        self._changed_tenants: dict[str, None] = {}
        self._demand_due_at = -math.inf
        self._urgent_due_at = -math.inf
        self._next_token = 1
        self._number = 0
        self._applied = 0
        self._sent_at = -math.inf
        self._sent_rows: list[Row] = []
        self._is_sent_full = False
        self._epoch = 0
        self._is_established = False
        self._was_allocated = False
        self._allocated_at = -math.inf
        self._last_share_by_tenant: dict[str, float] = {}

    def configure(
        self, tenants: typing.Iterable[tenants_module.Tenant], now: float
    ) -> None:
        """Apply the quotas of a configuration.

        Parameters
        ----------
        tenants : iterable of Tenant
            Tenants; those with a rate have a quota.
        now : float
            Clock, seconds.
        """
        earlier = self._tenant_by_name
        self._tenant_by_name = {
            one.name: one for one in tenants if one.rate > 0
        }
        for name, bucket in self._bucket_by_tenant.items():
            tenant = self._tenant_by_name.get(name)
            if tenant is None:
                # Without a quota nothing is taken from the bucket.
                bucket.configure(0.0, 0.0, now)
                continue
            before = earlier.get(name)
            if before is not None:
                self._scale(name, bucket, before, tenant)
            bucket.configure(tenant.rate, self.limits.burst(tenant), now)

    def _scale(
        self,
        name: str,
        bucket: Bucket,
        before: tenants_module.Tenant,
        after: tenants_module.Tenant,
    ) -> None:
        capacity = self.limits.capacity(before)
        if capacity > 0:
            factor = self.limits.capacity(after) / capacity
            if factor < 1.0 and bucket.held_single_tokens:
                bucket.scale_single_tokens(factor)
                self._changed_tenants[name] = None

    def admit(
        self, tenant: str, now: float, *, is_repeat: bool = False
    ) -> Admission:
        """Take a token of a tenant.

        Parameters
        ----------
        tenant : str
            Name of the tenant.
        now : float
            Clock, seconds.
        is_repeat : bool, optional
            Whether the request was counted before.

        Returns
        -------
        Admission
            Identifies the token, or says when there will be one.
        """
        known = self._tenant_by_name.get(tenant)
        if known is None:
            return UNLIMITED
        self._expire(now)
        if not is_repeat:
            self._demand_by_tenant[tenant] += 1
        bucket = self._bucket_by_tenant.get(tenant)
        if bucket is not None and bucket.take(self._next_token, now):
            self._next_token += 1
            if bucket.has_changed:
                self._changed_tenants[tenant] = None
            return Admission(0.0, self._next_token - 1)
        self._refused_by_tenant[tenant] += 1
        if bucket is None:
            return Admission(COORDINATOR_WAIT_SECONDS)
        return Admission(bucket.wait(now, is_repeat))

    def finish(self, tenant: str, number: int) -> None:
        """Keep the token of a request that ran or may have run."""
        bucket = self._bucket_by_tenant.get(tenant)
        if bucket is not None:
            bucket.finish(number)

    def give_back(self, tenant: str, number: int, now: float) -> None:
        """Return the token of a request that did not run.

        Parameters
        ----------
        tenant : str
            Name of the tenant.
        number : int
            Number of its admission.
        now : float
            Clock, seconds.
        """
        self._expire(now)
        bucket = self._bucket_by_tenant.get(tenant)
        if bucket is not None:
            bucket.give_back(number, now)

    def _expire(self, now: float) -> None:
        if now >= self.lease_until and self._bucket_by_tenant:
            self._last_share_by_tenant = {
                name: bucket.share
                for name, bucket in self._bucket_by_tenant.items()
            }
            self._bucket_by_tenant.clear()
            self._is_established = False

    def is_enabled(self) -> bool:
        """Return whether a tenant has a quota."""
        return bool(self._tenant_by_name)

    def totals(self, now: float) -> Totals:
        """Return figures for gauges."""
        self._expire(now)
        buckets = self._bucket_by_tenant.values()
        return Totals(
            sum(one.share > 0.0 for one in buckets),
            sum(one.single_tokens for one in buckets),
        )

    def grant_age(self, now: float) -> float:
        """Return the time since the latest answered report, seconds.

        It is 0.0 without quotas.
        """
        if not self.is_enabled():
            return 0.0
        return now - (self.lease_until - LEASE_SECONDS)

    def fallback_share(
        self, tenant: tenants_module.Tenant, host_count: int
    ) -> float:
        """Return the share to use while no coordinator allocates.

        It is the last share of this host, or an even one if the host had
        none or does not know.

        Parameters
        ----------
        tenant : Tenant
            The tenant.
        host_count : int
            Number of hosts.
        """
        even = 1.0 / max(1, host_count)
        if not self._was_allocated:
            return even
        last = self._last_share_by_tenant.get(tenant.name, 0.0)
        if last > 0.0:
            return last
        if self.limits.burst(tenant) * even < MIN_EVEN_TOKENS:
            return even
        # The other hosts have shares of a tenant of this size.
        return even * UNSHARED_FRACTION

    def is_allocated(self, now: float) -> bool:
        """Return whether a coordinator allocates the quotas at present."""
        return now - self._allocated_at <= MAX_GRANT_AGE_SECONDS

    def report(self, now: float) -> Report | None:
        """Return the next report, None if no tenant has a quota."""
        if not self.is_enabled():
            self._bucket_by_tenant.clear()
            self._is_established = False
            return None
        self._expire(now)
        self._number += 1
        self._sent_at = now
        is_full = self._is_sent_full = not self._is_established
        self._sent_rows = self._build_rows(is_full, now)
        is_urgent = now >= self._urgent_due_at and any(
            (row.refused or not row.tokens) and not self.has_share(row.tenant)
            for row in self._sent_rows
        )
        if is_urgent:
            self._urgent_due_at = now + URGENT_INTERVAL_SECONDS
        return Report(
            self._process,
            self._number,
            self._epoch,
            self._applied,
            is_full,
            is_urgent,
            self._sent_rows,
        )

    def has_share(self, tenant: str) -> bool:
        """Return whether this host has a share of a tenant's quota."""
        bucket = self._bucket_by_tenant.get(tenant)
        return bucket is not None and bucket.share > 0.0

    def _build_rows(self, is_full: bool, now: float) -> list[Row]:
        if is_full:
            names = dict.fromkeys(self._bucket_by_tenant)
            names |= dict.fromkeys(self._refused_by_tenant)
            return [self._row(name, now, True) for name in names]
        # Refused tenants first, as the coordinator can do something for them.
        urgent = dict.fromkeys(self._refused_by_tenant)
        urgent |= self._changed_tenants
        if now >= self._demand_due_at:
            urgent |= dict.fromkeys(self._demand_by_tenant)
            if len(urgent) <= MAX_REPORT_ROWS:
                self._demand_due_at = now + DEMAND_INTERVAL_SECONDS
        return [
            self._row(name, now) for name in list(urgent)[:MAX_REPORT_ROWS]
        ]

    def _row(self, tenant: str, now: float, has_share: bool = False) -> Row:
        bucket = self._bucket_by_tenant.get(tenant)
        if bucket is not None:
            bucket.end_returns(now)
        return Row(
            tenant,
            self._demand_by_tenant[tenant],
            self._refused_by_tenant[tenant],
            0 if bucket is None else bucket.held_single_tokens,
            bucket.share if bucket is not None and has_share else None,
        )

    def apply(self, grant: Grant, now: float) -> bool:
        """Apply the response to the latest report.

        Parameters
        ----------
        grant : Grant
            Response of the coordinator.
        now : float
            Clock, seconds.

        Returns
        -------
        bool
            False if it answers another report or comes from a coordinator
            that has been replaced.
        """
        self._expire(now)
        if grant.number != self._number or grant.epoch < self._epoch:
            return False
        if now >= self._sent_at + LEASE_SECONDS:
            return False
        if grant.epoch > self._epoch:
            # From now on no grant of an earlier coordinator is applied.
            self._epoch = grant.epoch
            self._applied = 0
            self._is_established = False
            return True
        if grant.needs_full:
            self._is_established = False
            return True
        if not self._is_sent_full and not self._is_established:
            # The lease has ended since the report.
            return False
        self._is_established = True
        self._clear_reported()
        if grant.is_renewed and grant.is_allocating:
            self._was_allocated = True
            self._allocated_at = self._sent_at
        if grant.is_renewed:
            self.lease_until = max(
                self.lease_until, self._sent_at + LEASE_SECONDS
            )
        for row in grant.rows:
            self._apply_row(row, now)
        self._applied = grant.number
        return True

    def _apply_row(self, row: GrantRow, now: float) -> None:
        bucket = self._bucket_by_tenant.get(row.tenant)
        if bucket is None:
            bucket = self._bucket_by_tenant[row.tenant] = Bucket(now)
            tenant = self._tenant_by_name.get(row.tenant)
            if tenant is not None:
                burst = self.limits.burst(tenant)
                bucket.configure(tenant.rate, burst, now)
        bucket.set_share(row.share, now)
        bucket.single_tokens = max(0, bucket.single_tokens + row.tokens)
        if row.tokens:
            self._changed_tenants[row.tenant] = None
        bucket.expected_at = now + row.wait

    def _clear_reported(self) -> None:
        """Drop what the coordinator has been told."""
        for row in self._sent_rows:
            for counts, reported in (
                (self._demand_by_tenant, row.demand),
                (self._refused_by_tenant, row.refused),
            ):
                counts[row.tenant] -= reported
                if counts[row.tenant] <= 0:
                    del counts[row.tenant]
            bucket = self._bucket_by_tenant.get(row.tenant)
            held = 0 if bucket is None else bucket.held_single_tokens
            is_final = bucket is None or not bucket.has_changed
            if is_final and held == row.tokens:
                self._changed_tenants.pop(row.tenant, None)
        self._sent_rows = []
