"""Campaigns of a host for the leadership of one failure domain."""

from __future__ import annotations

import logging
import typing
import uuid

import anyio
import anyio.abc

from agatestile.ownership import election
from agatestile.ownership import leases
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.ownership import ports
    from agatestile.ownership import server_calls
    from agatestile.state import cluster

LOG = logging.getLogger(__name__)

LEAVING_DELAY = 1.0
"""Seconds by which a leaving host becomes a candidate after all others."""
POLLS_PER_TIMEOUT = 100
"""How often a candidate looks for replies within the timeout of a call."""


class CampaignContext(typing.Protocol):
    """What a campaign needs from the driver that runs it."""

    async def find_leader(self, named: str) -> bool:
        """Follow the host that the servers name; return whether it leads."""

    async def wait_for_leader(self, seconds: float) -> bool:
        """Wait; return whether a leader became known in the meantime."""

    def known_term(self) -> records.Term:
        """Return the highest term that a host is known to have received."""


class Candidacy:
    """Runs a host's campaigns in one failure domain.

    Parameters
    ----------
    domain, host, instance : str
        Names of the failure domain, of this host and of its instance.
    state : cluster.ClusterState
        This host's copy of the state.
    dependencies : ports.Ports
        Interfaces to servers, peers, the log and the daemon.
    timing : terms.Timing
        Durations of leases.
    calls : server_calls.ServerCalls
        Sends the grants.
    """

    def __init__(
        self,
        domain: str,
        host: str,
        instance: str,
        state: cluster.ClusterState,
        dependencies: ports.Ports,
        timing: terms.Timing,
        calls: server_calls.ServerCalls,
    ) -> None:
        self._domain = domain
        self._host = host
        self._instance = instance
        self._state = state
        self._ports = dependencies
        self._timing = timing
        self._calls = calls
        self._last_registration = (-1, 0.0)

    async def campaign(
        self,
        tasks: anyio.abc.TaskGroup,
        context: CampaignContext,
        is_leaving: bool,
    ) -> leases.Votes | outcomes.Refusal:
        """Run one campaign; return the votes if a majority was obtained."""
        if any(row.fenced for row in self._calls.rows(self._domain)):
            return await self._campaign_with_servers(
                tasks, context, is_leaving
            )
        return await self._campaign_with_log(context, is_leaving)

    def stagger(self, is_leaving: bool) -> float:
        """Return how long this host waits for earlier candidates, seconds."""
        names = election.candidates(
            self._domain, self._ports.membership.hosts()
        )
        position = len(names)
        if self._host in names:
            position = names.index(self._host)
        delay = position * self._timing.stagger
        return delay + LEAVING_DELAY if is_leaving else delay

    def _voters(self) -> list[records.TableRow]:
        return election.voters(self._state.table, self._domain)

    async def _campaign_with_servers(
        self,
        tasks: anyio.abc.TaskGroup,
        context: CampaignContext,
        is_leaving: bool,
    ) -> leases.Votes | outcomes.Refusal:
        votes = leases.Votes(self._domain, self._instance, self._timing)
        votes.set_servers(self._voters())
        campaign = election.Campaign(votes, self._state, anyio.current_time())
        await self._poll(tasks, campaign, campaign.has_answers)
        wait = campaign.remaining_lease()
        if isinstance(wait, outcomes.Refusal):
            return wait
        if wait > 0 and await context.find_leader(campaign.current_leader()):
            return _refuse("another host leads")
        wait += self.stagger(is_leaving)
        if wait > 0:
            if await context.wait_for_leader(wait):
                return _refuse("another host leads")
            campaign.reset_answers(anyio.current_time())
            await self._poll(tasks, campaign, campaign.has_answers)
            if campaign.remaining_lease() != 0:
                return _refuse("another candidate was first")
        campaign.start_voting(context.known_term())
        await self._poll(
            tasks,
            campaign,
            lambda: votes.is_held(anyio.current_time()),
        )
        if votes.is_held(anyio.current_time()):
            return votes
        return _refuse("no majority in time")

    async def _poll(
        self,
        tasks: anyio.abc.TaskGroup,
        campaign: election.Campaign,
        is_done: typing.Callable[[], bool],
    ) -> None:
        """Send a grant to each voter and wait until enough replied."""
        for row in self._voters():
            if row.fenced and not self._calls.is_busy(row.server):
                prepared = campaign.next_grant(
                    row.server, anyio.current_time()
                )
                tasks.start_soon(
                    self._calls.grant, row, prepared, campaign.receive
                )
        with anyio.move_on_after(self._timing.call_timeout):
            while not is_done():
                await anyio.sleep(
                    self._timing.call_timeout / POLLS_PER_TIMEOUT
                )

    async def _campaign_with_log(
        self, context: CampaignContext, is_leaving: bool
    ) -> leases.Votes | outcomes.Refusal:
        """Register with the log and wait until the previous lease expires."""
        domain = self._state.domain(self._domain)
        now = anyio.current_time()
        if self._last_registration[0] != domain.lead_offset:
            self._last_registration = (domain.lead_offset, now)
        quiet_period = self._timing.log_wait + self._timing.silence
        if now < self._last_registration[1] + quiet_period:
            return _refuse("another host registered recently")
        if await context.wait_for_leader(self.stagger(is_leaving)):
            return _refuse("another host leads")
        seen = [records.Term(domain.lead_offset, 0, "")]
        seen.append(context.known_term())
        if domain.term is not None:
            seen.append(domain.term)
        votes = leases.LogVotes(
            self._domain,
            self._instance,
            self._timing,
            self._state,
            self._ports.last_read,
        )
        votes.set_servers(self._calls.rows(self._domain))
        votes.term = votes.first_term = terms.next_term(seen, self._instance)
        if self._state.domain(self._domain).lead_offset > domain.lead_offset:
            return _refuse("another candidate was first")
        offset = await self._ports.appender.append(
            records.Lead(uuid.uuid4().hex, self._domain, votes.term)
        )
        if isinstance(offset, outcomes.Refusal):
            return offset
        await anyio.sleep(self._timing.log_wait)
        if votes.is_held(anyio.current_time()):
            return votes
        return _refuse("the log shows another leader or was not read")


def _refuse(reason: str) -> outcomes.Refusal:
    return outcomes.Refusal(codes.ResultCode.NO_MAJORITY, reason)
