"""Lease rules of a stand-in backend server.

Implements section 5.1 of docs/design.md independently of the product's code,
so that tests reveal errors in the product's lease arithmetic.
"""

from __future__ import annotations

import typing

Term = tuple[int, int, str]


class Request(typing.TypedDict, total=False):
    """Body of POST /grant."""

    domain: str
    term: list[typing.Any]
    leader_ms: float
    stamp: float | None
    fence: str | None
    gate: str | None
    serve_ms: float


def fence_sort_key(text: str) -> tuple[int, int, str, int]:
    """Return the sort key of a fencing token.

    Raises
    ------
    ValueError
        If the text is not a fencing token.
    """
    epoch, step, sequence, instance = text.split(".", 3)
    return int(epoch), int(step), instance, int(sequence)


class Grants:
    """Leader leases and serve lease of one server.

    Times are in seconds of the server's own clock.

    Attributes
    ----------
    refused_by_reason : dict of str to int
        Number of refused grants by reason.
    """

    def __init__(self, started: float) -> None:
        self.started = started
        self.term_by_domain: dict[str, Term] = {}
        self.leader_until_by_domain: dict[str, float] = {}
        self.fence: str | None = None
        self.gate: str | None = None
        self.serve_until = 0.0
        self.refused_by_reason: dict[str, int] = {}

    def apply(self, request: Request, now: float) -> str:
        """Apply a grant; return why it is refused, "" if it is accepted."""
        reason = self._leader_refusal(request, now)
        reason = reason or self._fence_refusal(request)
        if not reason:
            self._record_leader(request)
            self._record_fence(request)
        if reason:
            count = self.refused_by_reason.get(reason, 0)
            self.refused_by_reason[reason] = count + 1
        return reason

    def accepts(self, fence: str | None, now: float) -> bool:
        """Return whether a request with this fencing token may run."""
        return (
            fence is not None
            and fence == self.fence
            and now < self.serve_until
        )

    def _leader_refusal(self, request: Request, now: float) -> str:
        stamp = request.get("stamp")
        if stamp is None:
            return "no stamp"
        if not self.started <= stamp <= now:
            return "stamp is not of this incarnation"
        lease = float(request["leader_ms"]) / 1000
        if now < self.started + lease:
            return "started less than a leader lease ago"
        if stamp + lease <= now:
            return "lease of the stamp is over"
        term = _term(request)
        known = self.term_by_domain.get(request["domain"])
        if known is None or term == known:
            return ""
        if term < known:
            return "term is lower"
        until = self.leader_until_by_domain[request["domain"]]
        if term[2] != known[2] and now < until:
            return "another leader holds the lease"
        return ""

    def _record_leader(self, request: Request) -> None:
        term = _term(request)
        until = float(request["stamp"] or 0) + request["leader_ms"] / 1000
        domain = request["domain"]
        known = self.term_by_domain.get(domain)
        if known is not None and term[2] == known[2]:
            until = max(until, self.leader_until_by_domain[domain])
        self.term_by_domain[domain] = term
        self.leader_until_by_domain[domain] = until

    def _fence_refusal(self, request: Request) -> str:
        fence = request.get("fence")
        if not fence or not self.fence:
            return ""
        lower = fence_sort_key(fence) < fence_sort_key(self.fence)
        return "fence is lower" if lower else ""

    def _record_fence(self, request: Request) -> None:
        fence = request.get("fence")
        if not fence:
            return
        until = float(request["stamp"] or 0) + request["serve_ms"] / 1000
        if fence == self.fence:
            until = max(until, self.serve_until)
        self.fence = fence
        self.gate = request.get("gate")
        self.serve_until = until

    def reply(
        self,
        domain: str,
        reason: str,
        now: float,
        incarnation: str,
        running: int,
    ) -> dict[str, object]:
        """Return the body of the response to POST /grant."""
        term = self.term_by_domain.get(domain)
        until = self.leader_until_by_domain.get(domain, 0.0)
        return {
            "accepted": not reason,
            "reason": reason,
            "stamp": now,
            "incarnation": incarnation,
            "term": list(term) if term else None,
            "leader_remaining_ms": _remaining_ms(until, now),
            "fence": self.fence,
            "gate": self.gate,
            "serve_remaining_ms": _remaining_ms(self.serve_until, now),
            "running": running,
        }


def _term(request: Request) -> Term:
    epoch, step, instance = request["term"]
    return int(epoch), int(step), str(instance)


def _remaining_ms(until: float, now: float) -> float:
    return max(0.0, round((until - now) * 1000, 3))
