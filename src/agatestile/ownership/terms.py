"""Terms of leaders and durations of leases."""

from __future__ import annotations

import typing

from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import records

if typing.TYPE_CHECKING:
    import collections.abc

NO_TERM = records.Term(0, 0, "")
"""Lower than the term of any leader."""


class Timing(typing.NamedTuple):
    """Durations of leases and intervals, seconds.

    Attributes
    ----------
    heartbeat_interval : float
        Between grants of a leader to its servers, and between heartbeats
        of a host to the leader.
    leader_lease : float
        Lease of a leader, counted from the server's stamp that the grant
        echoes.
    serve_lease : float
        Lease of a gate, counted from the stamp that the grant echoes: the
        server's or the host's own.
    log_lease : float
        How long a leader whose servers do not check fences relies on its
        last read of the log; longer than two long polls.
    drift : float
        Allowance for clocks that run at different rates, as a fraction.
    silence : float
        Time without a reply after which a peer counts as lost.
    stagger : float
        Delay between two consecutive candidates of an election.
    call_timeout : float
        Timeout of one call to a server or a peer.
    """

    heartbeat_interval: float = 0.25
    leader_lease: float = 1.0
    serve_lease: float = 1.4
    log_lease: float = 1.6
    drift: float = 0.05
    silence: float = 0.75
    stagger: float = 0.05
    call_timeout: float = 0.2

    @property
    def leader_hold(self) -> float:
        """How long its holder relies on a leader lease, seconds."""
        return self.leader_lease / (1 + self.drift)

    @property
    def serve_wait(self) -> float:
        """How long others wait for a serve lease to expire, seconds."""
        return self.serve_lease * (1 + self.drift)

    @property
    def log_wait(self) -> float:
        """How long others wait for a log lease to expire, seconds."""
        return self.log_lease * (1 + self.drift)


def next_term(
    seen: collections.abc.Iterable[records.Term], instance: str
) -> records.Term:
    """Return a term that is higher than all given ones."""
    known = [NO_TERM, *seen]
    return records.Term(
        max(term.epoch for term in known),
        max(term.step for term in known) + 1,
        instance,
    )


def from_thrift(term: ttypes.Term | None) -> records.Term:
    """Return the term in a message, or `NO_TERM` if it has none."""
    if term is None or term.instance is None:
        return NO_TERM
    return records.Term(term.epoch, term.step, term.instance)


def to_thrift(term: records.Term) -> ttypes.Term:
    """Return the message form of a term."""
    return ttypes.Term(term.epoch, term.step, term.instance)


def host_of(instance: str) -> str:
    """Return the host name that an instance name starts with."""
    return instance.rpartition("#")[0]
