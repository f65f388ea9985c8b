"""Stands for the leadership of one failure domain."""

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
    from agatestile.ownership import exchanges
    from agatestile.ownership import ports
    from agatestile.state import cluster

LOG = logging.getLogger(__name__)

LEAVING_DELAY = 1.0
"""A leaving host stands this much later, seconds, than all others."""
POLLS = 100
"""How often per call's time limit a candidate looks for answers."""


class Contest(typing.Protocol):
    """What a campaign asks of the host that runs it."""

    async def find_leader(self, named: str) -> bool:
        """Turn to the host that the servers name; True if it leads."""

    async def pause(self, seconds: float) -> bool:
        """Wait; True if a leader was heard of meanwhile."""

    def known_term(self) -> records.Term:
        """Return the highest term that a host is known to have heard of."""


class Standing:
    """Runs a host's campaigns in one failure domain.

    Parameters
    ----------
    domain, host, instance : str
        The failure domain, and this host.
    state : cluster.ClusterState
        This host's copy of the state.
    used : ports.Ports
        Calls to servers, peers and the log.
    timing : terms.Timing
        Lengths of leases.
    calls : exchanges.Exchanges
        Grants under way.
    """

    def __init__(
        self,
        domain: str,
        host: str,
        instance: str,
        state: cluster.ClusterState,
        used: ports.Ports,
        timing: terms.Timing,
        calls: exchanges.Exchanges,
    ) -> None:
        self._domain = domain
        self._host = host
        self._instance = instance
        self._state = state
        self._ports = used
        self._timing = timing
        self._calls = calls
        self._lead_seen = (-1, 0.0)

    async def campaign(
        self, tasks: anyio.abc.TaskGroup, contest: Contest, leaves: bool
    ) -> leases.Votes | outcomes.Refusal:
        """Return the votes of a majority, or why there is none."""
        if any(row.fenced for row in self._calls.rows(self._domain)):
            return await self._ask_servers(tasks, contest, leaves)
        return await self._ask_log(contest, leaves)

    def stagger(self, leaves: bool) -> float:
        """Return the delay of this host among the candidates, seconds."""
        names = election.candidates(
            self._domain, self._ports.membership.hosts()
        )
        position = len(names)
        if self._host in names:
            position = names.index(self._host)
        delay = position * self._timing.stagger
        return delay + LEAVING_DELAY if leaves else delay

    def _voters(self) -> list[records.TableRow]:
        return election.voters(self._state.table, self._domain)

    async def _ask_servers(
        self, tasks: anyio.abc.TaskGroup, contest: Contest, leaves: bool
    ) -> leases.Votes | outcomes.Refusal:
        votes = leases.Votes(self._domain, self._instance, self._timing)
        votes.set_servers(self._voters())
        campaign = election.Campaign(votes, self._state, anyio.current_time())
        await self._poll(tasks, campaign, campaign.has_answers)
        wait = campaign.wait()
        if isinstance(wait, outcomes.Refusal):
            return wait
        if wait > 0 and await contest.find_leader(campaign.present_leader()):
            return _refuse("another host leads")
        wait += self.stagger(leaves)
        if wait > 0:
            if await contest.pause(wait):
                return _refuse("another host leads")
            campaign.ask_again(anyio.current_time())
            await self._poll(tasks, campaign, campaign.has_answers)
            if campaign.wait() != 0:
                return _refuse("another candidate was first")
        campaign.stand(contest.known_term())
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
        """Send a grant to each server and wait until enough answered."""
        for row in self._voters():
            if row.fenced and not self._calls.is_busy(row.server):
                prepared = campaign.request(row.server, anyio.current_time())
                tasks.start_soon(
                    self._calls.grant, row, prepared, campaign.receive
                )
        with anyio.move_on_after(self._timing.call_timeout):
            while not is_done():
                await anyio.sleep(self._timing.call_timeout / POLLS)

    async def _ask_log(
        self, contest: Contest, leaves: bool
    ) -> leases.Votes | outcomes.Refusal:
        """Register with the log and wait for the lease before to end."""
        domain = self._state.domain(self._domain)
        now = anyio.current_time()
        if self._lead_seen[0] != domain.lead_offset:
            self._lead_seen = (domain.lead_offset, now)
        quiet = self._timing.log_wait + self._timing.silence
        if now < self._lead_seen[1] + quiet:
            return _refuse("another host registered lately")
        if await contest.pause(self.stagger(leaves)):
            return _refuse("another host leads")
        seen = [records.Term(domain.lead_offset, 0, "")]
        seen.append(contest.known_term())
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
