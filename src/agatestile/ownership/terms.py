"""Terms of leaders and the lengths of leases."""

from __future__ import annotations

import typing

from agatestile.rpc.generated.agatestile_rpc import ttypes
from agatestile.state import records

if typing.TYPE_CHECKING:
    import collections.abc

NO_TERM = records.Term(0, 0, "")


class Timing(typing.NamedTuple):
    """Lengths of leases and intervals, seconds.

    Attributes
    ----------
    heartbeat_interval : float
        Leader to servers, and hosts to leader.
    leader_lease : float
        From the server's stamp that a grant echoes.
    serve_lease : float
        From the stamp of the grantee that a grant echoes.
    log_lease : float
        How long a leader without fence-checking servers relies on its
        last read of the log; longer than two long polls.
    drift : float
        Allowance for clocks that differ in speed, as a fraction.
    silence : float
        After this time without an answer a peer counts as lost.
    stagger : float
        Delay between one candidate and the next.
    call_timeout : float
        Longest time for one exchange with a server or a peer.
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
        """How long a holder relies on a leader lease, seconds."""
        return self.leader_lease / (1 + self.drift)

    @property
    def serve_wait(self) -> float:
        """How long others wait for a serve lease to end, seconds."""
        return self.serve_lease * (1 + self.drift)

    @property
    def log_wait(self) -> float:
        """How long others wait for a log lease to end, seconds."""
        return self.log_lease * (1 + self.drift)


def next_term(
    seen: collections.abc.Iterable[records.Term], instance: str
) -> records.Term:
    """Return a term above all that were seen."""
    known = [NO_TERM, *seen]
    return records.Term(
        max(term.epoch for term in known),
        max(term.step for term in known) + 1,
        instance,
    )


def from_thrift(term: ttypes.Term | None) -> records.Term:
    """Return the term in a message, ``NO_TERM`` if it has none."""
    if term is None or term.instance is None:
        return NO_TERM
    return records.Term(term.epoch, term.step, term.instance)


def to_thrift(term: records.Term) -> ttypes.Term:
    """Return a term in the form used in messages."""
    return ttypes.Term(term.epoch, term.step, term.instance)


def host_of(instance: str) -> str:
    """Return the name of the host in an instance's name."""
    return instance.rpartition("#")[0]
