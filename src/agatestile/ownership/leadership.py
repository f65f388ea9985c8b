"""Decisions of the leader of one failure domain."""

from __future__ import annotations

import collections
import logging
import typing

from agatestile.ownership import grants
from agatestile.ownership import handover
from agatestile.ownership import posts
from agatestile.ownership import succession
from agatestile.ownership import terms
from agatestile.results import codes
from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants
    from agatestile.state import cluster

LOG = logging.getLogger(__name__)

GATHER = 0.3
"""A new leader waits this long, seconds, for the heartbeats of gates that
it may keep before it names others; a heartbeat interval and a margin."""


class Leadership:
    """State of a leader from its majority to the loss of it.

    Parameters
    ----------
    votes : grants.Votes
        Leases of the domain's servers; a majority is held.
    host : str
        This host.
    state : cluster.ClusterState
        This host's copy of the state.
    checks : invariants.Invariants
        Counts broken invariants.
    now : float
        When the majority was obtained, seconds.
    """

    def __init__(
        self,
        votes: grants.Votes,
        host: str,
        state: cluster.ClusterState,
        checks: invariants.Invariants,
        now: float,
    ) -> None:
        self.votes = votes
        self.domain = votes.domain
        self.first_term = votes.term
        self.host = host
        self.steps = succession.Steps()
        self.hosts: dict[str, posts.HostRecord] = {}
        self.posts: dict[str, posts.Post] = {}
        self.is_deposed = False
        self.state = state
        self.checks = checks
        self._timing = votes.timing
        self.began = now
        self._sequence = 0
        self._routes: tuple[typing.Any, ...] = ()
        self._route_sequence = 0
        self._stepped: tuple[typing.Any, ...] = ()
        for server, lease in votes.by_server.items():
            lease.lapse_at = now + self._timing.serve_wait
            row = state.table.servers_by_name.get(server)
            if row is not None:
                self.posts[server] = posts.Post(row, lease)

    def may_act(self, now: float) -> bool:
        """Tell whether this leader holds a majority at this moment."""
        return not self.is_deposed and self.votes.is_held(now)

    def has_other_host(self, now: float) -> bool:
        """Tell whether another host could lead in place of this one."""
        return any(
            host.name != self.host
            and not host.leaving
            and host.is_live(now, self._timing)
            for host in self.hosts.values()
        )

    def is_caught_up(self) -> bool:
        """Tell whether no earlier leader's Intent can be unknown here.

        A leader registers with the log again after each Intent and shows
        the new epoch to a majority before it acts on the Intent.
        """
        domain = self.state.domain(self.domain)
        return domain.lead_offset >= self.votes.highest_epoch

    def request(
        self, server: str, now: float
    ) -> tuple[grants.GrantRequest, grants.Exchange] | None:
        """Return the next grant for a server."""
        post = self.posts.get(server)
        if post is None or self.is_deposed:
            return None
        held = self.votes.is_held(now)
        if post.fence and not self.checks.check(
            "grant-with-majority", held, f"{server} fence {post.fence}"
        ):
            self.is_deposed = True
            return None
        return post.lease.prepare(
            self.domain,
            self.votes.term,
            now,
            post.fence or None,
            post.host or None,
        )

    def receive(
        self,
        server: str,
        exchange: grants.Exchange,
        reply: grants.GrantReply,
        now: float,
    ) -> None:
        """Take a server's answer to a grant."""
        post = self.posts.get(server)
        if post is None:
            return
        post.lease.receive(exchange, reply, now)
        self.votes.note_reply(reply)
        self.tick(now)

    def note_probe(self, server: str, now: float) -> None:
        """Note that a server that does not check fences answered."""
        if server in self.posts:
            self.posts[server].lease.replied_at = now

    def on_heartbeat(
        self, heartbeat: ttypes.Heartbeat, now: float
    ) -> ttypes.HeartbeatReply:
        """Take a host's heartbeat and return the answer."""
        known = terms.from_thrift(heartbeat.known_term)
        if known > self.votes.term:
            self.is_deposed = True
        if not self.may_act(now):
            return refuse_heartbeat(heartbeat, "")
        host = self._note_host(heartbeat, now)
        if known >= self.first_term:
            for report in heartbeat.gates or ():
                host.claims[report.server] = report.fence
            for step in heartbeat.steps or ():
                self.steps.merge(succession.Step.from_thrift(step))
        self.tick(now)
        return self._reply(heartbeat, host, now)

    def _note_host(
        self, heartbeat: ttypes.Heartbeat, now: float
    ) -> posts.HostRecord:
        host = self.hosts.get(heartbeat.host)
        if host is None or host.instance != heartbeat.instance:
            host = self.hosts[heartbeat.host] = posts.HostRecord(heartbeat)
        host.update(heartbeat, now)
        return host

    def _reply(
        self,
        heartbeat: ttypes.Heartbeat,
        host: posts.HostRecord,
        now: float,
    ) -> ttypes.HeartbeatReply:
        told = [
            post for post in self.posts.values() if self._tell(post, host, now)
        ]
        for post in told:
            post.is_told = True
            if not post.row.fenced:
                post.lease.lapse_at = max(
                    post.lease.lapse_at, now + self._timing.serve_wait
                )
        release = handover.releases(self, now)
        view = self.view()
        known = (
            terms.from_thrift(heartbeat.route_term),
            heartbeat.route_sequence,
        )
        return ttypes.HeartbeatReply(
            leads=True,
            leader=self.host,
            term=terms.to_thrift(self.votes.term),
            stamp=heartbeat.stamp,
            grants=[
                ttypes.GateGrant(post.row.server, post.fence) for post in told
            ],
            release=[
                reference.to_thrift()
                for post in told
                for reference in release.get(post.row.server, ())
            ],
            view=None if known == (self.votes.term, view.sequence) else view,
        )

    def _tell(
        self, post: posts.Post, host: posts.HostRecord, now: float
    ) -> bool:
        if (post.host, post.instance) != (host.name, host.instance):
            return False
        if not post.row.fenced and not post.lease.is_fresh(now):
            return False
        if post.is_told:
            return True
        return post.is_confirmed and self.is_group_settled(post.row.service)

    def is_group_settled(self, service: str) -> bool:
        """Tell whether all steps of an earlier leader are known or void."""
        return all(
            post.is_settled
            for post in self.posts.values()
            if post.row.service == service
        )

    def view(self) -> ttypes.RouteView:
        """Return where the domain's servers are reached."""
        addresses = tuple(
            (server, post.host, self.hosts[post.host].forward_address)
            for server, post in sorted(self.posts.items())
            if post.is_told and post.host in self.hosts
        )
        routes = (addresses, self.steps.sequence)
        if routes != self._routes:
            self._routes = routes
            self._route_sequence += 1
        return ttypes.RouteView(
            domain=self.domain,
            term=terms.to_thrift(self.votes.term),
            sequence=self._route_sequence,
            gates=[ttypes.GateAddress(*address) for address in addresses],
            steps=[step.to_thrift() for step in self.steps],
        )

    def tick(self, now: float) -> None:
        """Decide whatever the present moment asks for."""
        if not self.may_act(now):
            return
        self._take_table(now)
        for post in self.posts.values():
            self._check_lost(post, now)
            if post.row.fenced:
                self._settle(post, now)
            else:
                self._settle_unfenced(post, now)
            self._check_gate(post, now)
        self._step_lost(now)
        self._prune_steps()

    def _take_table(self, now: float) -> None:
        rows = self.state.table.servers_by_name
        mine = {row.server: row for row in rows.values() if self._is_mine(row)}
        if all(
            name in self.posts and self.posts[name].row is row
            for name, row in mine.items()
        ) and len(mine) == len(self.posts):
            return
        self.votes.set_servers(mine.values())
        for name in set(self.posts) - set(mine):
            del self.posts[name]
        for name, row in mine.items():
            if name in self.posts:
                self.posts[name].row = row
                continue
            lease = self.votes.by_server[name]
            lease.lapse_at = now + self._timing.serve_wait
            self.posts[name] = posts.Post(row, lease)

    def _is_mine(self, row: records.TableRow) -> bool:
        return row.domain == self.domain

    def _check_lost(self, post: posts.Post, now: float) -> None:
        if post.lease.is_fresh(now):
            post.is_lost = False
            return
        if post.is_lost or not post.lease.is_lapsed(now):
            return
        post.is_lost = post.is_settled = True
        post.clear()
        self._log(post, codes.ResultCode.SERVER_UNREACHABLE, "server is lost")

    def _settle(self, post: posts.Post, now: float) -> None:
        reply = post.lease.reply
        if (
            post.is_settled
            or reply is None
            or not reply.accepted
            or post.lease.accepted.instance != self.votes.instance
        ):
            return
        if post.fence:
            post.is_settled = post.is_confirmed
            return
        if not reply.fence or reply.serve_remaining_ms <= 0:
            post.is_settled = True
            return
        # An answer from before the majority may be older than a step of
        # the earlier leader.
        if post.lease.asked_at < self.began:
            return
        for host in self.hosts.values():
            if host.claims.get(post.row.server) == reply.fence:
                post.place(reply.fence, host)
                post.is_settled = post.is_told = True
                self._log(post, codes.ResultCode.ANSWERED, "gate kept")
                return

    def _settle_unfenced(self, post: posts.Post, now: float) -> None:
        if post.is_settled:
            return
        if post.lease.is_lapsed(now):
            post.is_settled = True
            return
        for host in self.hosts.values():
            fence = host.claims.get(post.row.server)
            if fence and host.is_live(now, self._timing):
                post.place(fence, host)
                post.is_settled = post.is_told = True
                self._log(post, codes.ResultCode.ANSWERED, "gate kept")
                return

    def _check_gate(self, post: posts.Post, now: float) -> None:
        """Name a gate for a server that has none, or one that is lost."""
        if now < self.began + GATHER or not post.lease.is_fresh(now):
            return
        reason = self._reason_to_move(post, now)
        if not reason:
            return
        if not post.row.fenced and not post.lease.is_lapsed(now):
            if post.fence:
                post.clear()
            return
        eligible = [
            host
            for host in self.hosts.values()
            if host.is_live(now, self._timing)
            and not host.leaving
            and host.offset >= self.votes.highest_epoch
        ]
        chosen = posts.choose_host(eligible, self._counts(), self.domain)
        if chosen is None:
            return
        self._sequence += 1
        fence = records.Fence(self.votes.term, self._sequence)
        post.place(fence.to_text(), chosen)
        self._log(post, codes.ResultCode.ANSWERED, reason)

    def _reason_to_move(self, post: posts.Post, now: float) -> str:
        if not post.host:
            return "server has no gate"
        host = self.hosts.get(post.host)
        if host is None or host.instance != post.instance:
            return "gate's host started again"
        if not host.is_live(now, self._timing):
            return "gate's host is lost"
        if host.leaving and any(
            other.is_live(now, self._timing) and not other.leaving
            for other in self.hosts.values()
        ):
            return "gate's host leaves"
        return ""

    def _counts(self) -> collections.Counter[str]:
        return collections.Counter(post.host for post in self.posts.values())

    def _live_servers(self, now: float) -> frozenset[str]:
        return frozenset(
            name
            for name, post in self.posts.items()
            if post.lease.is_fresh(now) and post.row.state == "active"
        )

    def _step_lost(self, now: float) -> None:
        lost = [post for post in self.posts.values() if post.is_lost]
        if not lost or self.state.domain(self.domain).state != "in":
            return
        live = self._live_servers(now)
        names = tuple(post.row.server for post in lost)
        groups = tuple(
            self.is_group_settled(post.row.service) for post in lost
        )
        seen = (self.state.offset, names, live, groups, self.steps.sequence)
        if seen == self._stepped or not self.is_caught_up():
            return
        for post, settled in zip(lost, groups, strict=True):
            if settled:
                self._step_server(post, live, now)
        self._stepped = (*seen[:-1], self.steps.sequence)

    def _step_server(
        self, post: posts.Post, live: frozenset[str], now: float
    ) -> None:
        name = post.row.server
        planned = succession.plan_steps(self.state, self.steps, name, live)
        for step in planned:
            if not self.checks.check(
                "owner-after-lapse",
                post.lease.is_lapsed(now),
                f"{step} while {name} may still serve",
            ):
                return
            self.steps.merge(step)
            LOG.info(
                "lead: %s %s [%d, %d) steps from %s to %s: owner is lost, "
                "result %d",
                self.domain,
                step.service,
                step.start,
                step.end,
                name,
                step.server,
                codes.ResultCode.ANSWERED,
            )

    def _prune_steps(self) -> None:
        """Forget steps that all gates know from the log."""
        steps = list(self.steps)
        if not steps:
            return
        holders = {post.host for post in self.posts.values()} - {""}
        reached = min(
            [self.hosts[name].offset for name in holders if name in self.hosts]
            + [self.state.offset]
        )
        for step in steps:
            range_map = self.state.ranges_by_service.get(step.service)
            if range_map is None or all(
                step.version < current.version <= reached
                and current.version != current.intent
                for current in range_map.overlapping(step.start, step.end)
            ):
                self.steps.remove(step)

    def _log(
        self, post: posts.Post, code: codes.ResultCode, reason: str
    ) -> None:
        LOG.info(
            "lead: %s server %s gate %s fence %s: %s, result %d",
            self.domain,
            post.row.server,
            post.host or "none",
            post.fence or "none",
            reason,
            code,
        )


def refuse_heartbeat(
    heartbeat: ttypes.Heartbeat, leader: str
) -> ttypes.HeartbeatReply:
    """Return the answer of a host that does not lead the domain."""
    return ttypes.HeartbeatReply(
        leads=False,
        leader=leader,
        term=terms.to_thrift(terms.NO_TERM),
        stamp=heartbeat.stamp,
        grants=[],
        release=[],
    )
