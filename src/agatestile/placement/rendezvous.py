"""Weighted rendezvous hashing, with an optional bound on loads."""

from __future__ import annotations

import collections
import math
import typing

import xxhash

if typing.TYPE_CHECKING:
    import collections.abc

SUCCESSOR_COUNT = 2
# Number of values of a 64-bit hash.
_HASH_COUNT = 1 << 64


class Candidate(typing.NamedTuple):
    """A backend server that may own ranges.

    Attributes
    ----------
    name, domain : str
        Names of the server and of its failure domain.
    weight : int
        Share of the service's ranges, relative to other servers.
    """

    name: str
    domain: str
    weight: int = 1


class Placement(typing.NamedTuple):
    """Owner of a range and the successors that take over on its loss."""

    server: str
    successors: tuple[str, ...]


def score(item: str, candidate: Candidate) -> float:
    """Return the score of a candidate for an item.

    With scores -weight / ln(u), u uniform in (0, 1), each candidate has
    the highest score with a probability proportional to its weight.
    Source: Schindelhauer and Schomaker, "Weighted distributed hash
    tables", 2005.
    """
    digest = xxhash.xxh64_intdigest(f"{item}\0{candidate.name}".encode())
    return -candidate.weight / math.log((digest + 0.5) / _HASH_COUNT)


def rank(
    item: str, candidates: collections.abc.Iterable[Candidate]
) -> list[Candidate]:
    """Return the candidates for an item in order of preference."""
    return sorted(
        candidates,
        key=lambda candidate: (score(item, candidate), candidate.name),
        reverse=True,
    )


def place(
    items: collections.abc.Sequence[str],
    candidates: collections.abc.Sequence[Candidate],
    bound: float = math.inf,
    owned: collections.abc.Mapping[str, int] | None = None,
) -> list[Placement]:
    """Choose an owner and successors for each item.

    Parameters
    ----------
    items : sequence of str
        What to place, such as the names of ranges.
    candidates : sequence of Candidate
        Servers to choose from. Must not be empty.
    bound : float
        Largest number of items of a server, relative to its weighted
        share. The limit of each server is rounded up to a whole number
        of items, so it is at least 1.
    owned : mapping of str to int, optional
        Number of items that each server already owns.

    Returns
    -------
    list of Placement
        One for each item, in the order of the items.
    """
    total = sum(candidate.weight for candidate in candidates)
    counts = collections.Counter(
        {
            candidate.name: (owned or {}).get(candidate.name, 0)
            for candidate in candidates
        }
    )
    count = len(items) + counts.total()
    placed = []
    for item in items:
        ranked = rank(item, candidates)
        owner = next(
            candidate
            for candidate in ranked
            if bound == math.inf
            or counts[candidate.name]
            < math.ceil(bound * count * candidate.weight / total)
        )
        counts[owner.name] += 1
        placed.append(Placement(owner.name, _successors(owner, ranked)))
    return placed


def _successors(
    owner: Candidate, ranked: collections.abc.Iterable[Candidate]
) -> tuple[str, ...]:
    names = [
        candidate.name
        for candidate in ranked
        if candidate.domain == owner.domain and candidate != owner
    ]
    return tuple(names[:SUCCESSOR_COUNT])
