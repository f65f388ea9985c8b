"""Choice of the gates of a domain's servers."""

from __future__ import annotations

import collections
import logging
import typing

from agatestile.ownership import election
from agatestile.ownership import posts
from agatestile.results import codes
from agatestile.state import records

if typing.TYPE_CHECKING:
    from agatestile.observability import invariants
    from agatestile.ownership import leases
    from agatestile.state import cluster

LOG = logging.getLogger(__name__)

GATHER = 0.3
"""A new leader waits this long, seconds, for the heartbeats of gates that
it may keep before it names others; a heartbeat interval and a margin."""
BALANCE = 5.0
"""Interval, seconds, at which a gate moves to a better host. Each move
makes the server's next gate forget request identifiers, so they are rare."""
FORGET = 60.0
"""A host that was silent for this many seconds is forgotten."""


class Appointments:
    """Posts of a domain's servers and the hosts that may hold them.

    Parameters
    ----------
    votes : leases.Votes
        Leases of the domain's servers.
    state : cluster.ClusterState
        This host's copy of the state.
    checks : invariants.Invariants
        Counts broken invariants.
    now : float
        When the majority was obtained, seconds.
    """

    def __init__(
        self,
        votes: leases.Votes,
        state: cluster.ClusterState,
        checks: invariants.Invariants,
        now: float,
    ) -> None:
        self.hosts: dict[str, posts.HostRecord] = {}
        self.posts: dict[str, posts.Post] = {}
        self._votes = votes
        self._state = state
        self._checks = checks
        self._timing = votes.timing
        self._began = now
        self._balanced_at = now
        self._sequence = 0
        self._table: object = None
        self.take_table(now)

    def take_table(self, now: float) -> None:
        """Follow the table's rows of the domain."""
        if self._state.table is self._table:
            return
        self._table = self._state.table
        rows = {
            row.server: row
            for row in self._state.table.servers_by_name.values()
            if row.domain == self._votes.domain
        }
        self._votes.set_servers(
            election.voters(self._state.table, self._votes.domain)
        )
        for name in set(self.posts) - set(rows):
            del self.posts[name]
        for name, row in rows.items():
            if name in self.posts:
                self.posts[name].row = row
                continue
            # A gate of an earlier leader or domain may still reach it.
            lease = self._votes.by_server[name]
            lease.lapse_at = now + self._timing.serve_wait
            self.posts[name] = posts.Post(row, lease)

    def is_group_settled(self, service: str) -> bool:
        """Tell whether all steps of an earlier leader are known or void."""
        return all(
            post.is_settled
            for post in self.posts.values()
            if post.row.service == service
        )

    def decide(self, now: float) -> None:
        """Find lost servers, and keep and name gates."""
        for post in self.posts.values():
            self._check_lost(post, now)
            if not post.is_settled:
                self._settle(post, now)
            if post.lease.is_fresh(now) and now >= self._began + GATHER:
                self._check_gate(post, now)
            if post.chart.state in ("unsettled", "free") and (
                post.is_confirmed
            ):
                self._send(post, "confirmed")
        if now >= self._balanced_at + BALANCE:
            self._balanced_at = now
            self._balance(now)
            self._forget_hosts(now)

    def _send(self, post: posts.Post, event: str) -> None:
        state = post.chart.state
        self._checks.check(
            "chart-server",
            post.chart.send(event),
            f"{post.row.server}: {event} in state {state}",
        )

    def _check_lost(self, post: posts.Post, now: float) -> None:
        if post.lease.is_fresh(now):
            if post.is_lost:
                self._send(post, "answers")
        elif not post.is_lost and post.lease.is_lapsed(now):
            post.clear()
            self._send(post, "lost")
            self._log(
                post, codes.ResultCode.SERVER_UNREACHABLE, "server is lost"
            )

    def _settle(self, post: posts.Post, now: float) -> None:
        if post.row.fenced:
            self._settle_fenced(post)
        elif post.lease.is_lapsed(now):
            self._send(post, "lapsed")
        else:
            for host in self.hosts.values():
                fence = host.claims.get(post.row.server)
                if fence and host.is_live(now, self._timing):
                    self._keep(post, fence, host)
                    return

    def _settle_fenced(self, post: posts.Post) -> None:
        reply = post.lease.reply
        # An answer from before the majority may be older than a step of
        # the earlier leader.
        if (
            post.fence
            or reply is None
            or not reply.accepted
            or post.lease.asked_at < self._began
        ):
            return
        if not reply.fence or reply.serve_remaining_ms <= 0:
            self._send(post, "lapsed")
            return
        for host in self.hosts.values():
            if host.claims.get(post.row.server) == reply.fence:
                self._keep(post, reply.fence, host)
                return

    def _keep(
        self, post: posts.Post, fence: str, host: posts.HostRecord
    ) -> None:
        post.place(fence, host)
        post.is_told = True
        self._send(post, "kept")
        self._log(post, codes.ResultCode.ANSWERED, "gate kept")

    def _check_gate(self, post: posts.Post, now: float) -> None:
        """Name a gate for a server that has none, or one that is lost."""
        reason = self._reason_to_move(post, now)
        if not reason:
            return
        if not post.row.fenced and not post.lease.is_lapsed(now):
            if post.fence:
                post.clear()
                if post.chart.state == "gated":
                    self._send(post, "cleared")
            return
        eligible = self._eligible(now)
        counts = collections.Counter(
            other.host for other in self.posts.values()
        )
        chosen = posts.choose_host(eligible, counts, self._votes.domain)
        if chosen is not None:
            self._name(post, chosen, reason)

    def _eligible(self, now: float) -> list[posts.HostRecord]:
        """Return the hosts that know all moves made so far."""
        return [
            host
            for host in self.hosts.values()
            if host.is_live(now, self._timing)
            and not host.leaving
            and host.offset >= self._votes.highest_epoch
        ]

    def _name(
        self, post: posts.Post, host: posts.HostRecord, reason: str
    ) -> None:
        self._sequence += 1
        fence = records.Fence(self._votes.term, self._sequence)
        post.place(fence.to_text(), host)
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

    def _balance(self, now: float) -> None:
        """Move one gate to a host of the domain, or to a less busy one."""
        movable = [
            post
            for post in self.posts.values()
            if post.row.fenced and post.is_told and post.host in self.hosts
        ]
        counts = collections.Counter(post.host for post in movable)
        domain = self._votes.domain
        best = posts.choose_host(self._eligible(now), counts, domain)
        if best is None or not movable:
            return
        post = max(
            movable,
            key=lambda post: (
                self.hosts[post.host].domain != domain,
                counts[post.host],
                post.row.server,
            ),
        )
        is_foreign = self.hosts[post.host].domain != domain
        is_nearer = is_foreign and best.domain == domain
        is_level = is_foreign == (best.domain != domain)
        if is_nearer or (
            is_level and counts[post.host] - counts[best.name] >= 2
        ):
            self._name(post, best, "gates are balanced")

    def _forget_hosts(self, now: float) -> None:
        holders = {post.host for post in self.posts.values()}
        for name, host in list(self.hosts.items()):
            if name not in holders and now - host.seen > FORGET:
                del self.hosts[name]

    def _log(
        self, post: posts.Post, code: codes.ResultCode, reason: str
    ) -> None:
        LOG.info(
            "lead: %s server %s gate %s fence %s: %s, result %d",
            self._votes.domain,
            post.row.server,
            post.host or "none",
            post.fence or "none",
            reason,
            code,
        )
