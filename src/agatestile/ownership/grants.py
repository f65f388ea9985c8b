"""Grant messages, and the rules by which servers accept them."""

from __future__ import annotations

import math
import typing

import msgspec

from agatestile.ownership import terms
from agatestile.state import records


class GrantRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /grant`` (section 5.1 of docs/design.md)."""

    domain: str
    term: records.Term
    leader_ms: float
    stamp: float | None = None
    fence: str | None = None
    gate: str | None = None
    serve_ms: float = 0


class GrantReply(msgspec.Struct, frozen=True):
    """Reply of a server to a grant."""

    accepted: bool
    reason: str
    stamp: float
    incarnation: str
    term: records.Term | None = None
    leader_remaining_ms: float = 0
    fence: str | None = None
    gate: str | None = None
    serve_remaining_ms: float = 0
    running: int = 0


class _Vote(typing.NamedTuple):
    """A server's vote in one failure domain.

    Attributes
    ----------
    term : records.Term
        Term of the leader that holds the vote.
    until : float
        When the leader lease expires, on the server's clock, seconds.
    """

    term: records.Term = terms.NO_TERM
    until: float = -math.inf


NO_VOTE = _Vote()


class GrantBook:
    """Votes and fence of a server that checks fences.

    A server has a vote in its own failure domain and one in each domain
    whose witness it is.

    Parameters
    ----------
    incarnation : str
        Identifies this start of the server.
    now : float
        The server's clock at its start, seconds.
    """

    def __init__(self, incarnation: str, now: float) -> None:
        self._incarnation = incarnation
        self._started = now
        self._votes_by_domain: dict[str, _Vote] = {}
        self._fence: records.Fence | None = None
        self._gate: str | None = None
        self._serve_until = -math.inf

    def handle(
        self, request: GrantRequest, now: float, running: int = 0
    ) -> GrantReply:
        """Apply a grant and return the reply.

        Parameters
        ----------
        request : GrantRequest
            The grant.
        now : float
            The server's clock when the grant is handled, seconds.
        running : int
            Number of requests that the server is running.
        """
        reason = self._refusal(request, now)
        if not reason:
            self._accept(request)
        vote = self._votes_by_domain.get(request.domain, NO_VOTE)
        return GrantReply(
            accepted=not reason,
            reason=reason,
            stamp=now,
            incarnation=self._incarnation,
            term=vote.term,
            leader_remaining_ms=max(0.0, vote.until - now) * 1000,
            fence=self._fence.to_text() if self._fence else None,
            gate=self._gate,
            serve_remaining_ms=max(0.0, self._serve_until - now) * 1000,
            running=running,
        )

    def accepts(self, fence: str, now: float) -> bool:
        """Return whether a request with this fence may run now."""
        return (
            self._fence is not None
            and fence == self._fence.to_text()
            and now < self._serve_until
        )

    def _refusal(self, request: GrantRequest, now: float) -> str:
        if request.stamp is None:
            return "no stamp"
        if not self._started <= request.stamp <= now:
            return "stamp is not of this incarnation"
        lease = request.leader_ms / 1000
        if now < self._started + lease:
            return "started less than a leader lease ago"
        if request.stamp + lease <= now:
            return "lease of the stamp is over"
        vote = self._votes_by_domain.get(request.domain, NO_VOTE)
        if request.term < vote.term:
            return "term is lower"
        if request.term.instance != vote.term.instance and now < vote.until:
            return "another leader holds the lease"
        fence = _parse(request.fence)
        if fence and self._fence and fence < self._fence:
            return "fence is lower"
        return ""

    def _accept(self, request: GrantRequest) -> None:
        stamp = request.stamp or 0.0
        until = stamp + request.leader_ms / 1000
        vote = self._votes_by_domain.get(request.domain, NO_VOTE)
        if request.term.instance == vote.term.instance:
            until = max(until, vote.until)
        self._votes_by_domain[request.domain] = _Vote(request.term, until)
        fence = _parse(request.fence)
        if fence is None:
            return
        until = stamp + request.serve_ms / 1000
        if fence == self._fence:
            until = max(until, self._serve_until)
        self._fence, self._gate = fence, request.gate
        self._serve_until = until


def _parse(fence: str | None) -> records.Fence | None:
    return records.Fence.from_text(fence) if fence else None
