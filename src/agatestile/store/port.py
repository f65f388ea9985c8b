"""What the program needs of the store."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from agatestile.results import outcomes


READ_LIMIT = 1 << 20
"""Bytes after which a page of a read ends by default."""


class Record(typing.NamedTuple):
    """Newest or next record of a key.

    Attributes
    ----------
    key : str
        Key within the topic.
    value : bytes
        Content; empty if the key was dropped.
    """

    key: str
    value: bytes


class Page(typing.NamedTuple):
    """Result of a read.

    Attributes
    ----------
    records : list of Record
        Records in the order in which they were appended.
    end : int
        Offset from which the next read continues.
    is_last : bool
        Whether the topic had no further records.
    """

    records: list[Record]
    end: int
    is_last: bool = True


class Membership(typing.NamedTuple):
    """What a member of a group was told.

    Attributes
    ----------
    generation : int
        Number of the group's last change.
    partitions : frozenset of int
        Partitions that belong to the member.
    """

    generation: int
    partitions: frozenset[int]


class Store(typing.Protocol):
    """Topics of keyed records and groups of members.

    Every call returns a refusal in place of its result if the store did
    not answer: `LOG_UNAVAILABLE` if nothing was done,
    `LOG_OUTCOME_UNKNOWN` if it may have been done, `RECORD_STALE` if the
    condition of an append does not hold, `LOG_HISTORY_GONE` if the records
    were deleted.
    """

    async def read_newest(self, topic: str) -> Page | outcomes.Refusal:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, start: int, wait: float, limit: int = READ_LIMIT
    ) -> Page | outcomes.Refusal:
        """Return records from an offset on.

        Parameters
        ----------
        topic : str
            The topic.
        start : int
            Offset of the first record.
        wait : float
            How long to wait for a record, seconds.
        limit : int
            Bytes after which the page ends.
        """

    async def append(
        self, topic: str, records: list[Record], expected_end: int
    ) -> int | outcomes.Refusal:
        """Append if the topic ends at an offset; return the new end."""

    async def join(
        self, group: str, member: str, ttl: float, generation: int
    ) -> Membership | outcomes.Refusal:
        """Join a group or stay in it."""

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""

    async def member_of(
        self, group: str, partition: int
    ) -> str | None | outcomes.Refusal:
        """Return the member that holds a partition of a group."""
