"""Interface to the store: topics of keyed records, and groups."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from agatestile.results import outcomes


READ_LIMIT = 1 << 20
"""Default size limit of a page of a read, bytes."""


class Record(typing.NamedTuple):
    """Record of a key in a topic.

    Attributes
    ----------
    key : str
        Key within the topic.
    value : bytes
        Content; empty if the key was deleted.
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
        Offset at which the next read continues.
    is_last : bool
        Whether the topic has no further records.
    receive_seconds : float
        Time between the first and the last byte of the page.
    era : int
        Era of the store in which all of the page was read.
    """

    records: list[Record]
    end: int
    is_last: bool = True
    receive_seconds: float = 0.0
    era: int = 0


class Membership(typing.NamedTuple):
    """Membership in a group, as the store reports it.

    Attributes
    ----------
    generation : int
        Number of the last change of the group.
    partitions : frozenset of int
        Partitions that are assigned to the member.
    era : int
        Era of the store in which it was joined or renewed.
    """

    generation: int
    partitions: frozenset[int]
    era: int = 0


class Store(typing.Protocol):
    """Topics of keyed records and groups of members.

    A call that fails returns a refusal instead of its result:
    `LOG_UNAVAILABLE` if the call had no effect, `LOG_OUTCOME_UNKNOWN` if it
    may have had one, `RECORD_STALE` if the condition of an append is not
    met, `LOG_HISTORY_GONE` if the records were deleted.

    The store begins a new era each time it is restored from an older copy.
    What was acknowledged since that copy is lost, and offsets are assigned
    again. A response from an earlier era than `era` is refused.

    Attributes
    ----------
    era : int
        Newest era that a response has named, also that of an append or of a
        refusal; 0 if none has. It is the era of the call that has just ended.
    """

    @property
    def era(self) -> int:
        """Return the newest era that a response has named."""

    async def read_newest(self, topic: str) -> Page | outcomes.Refusal:
        """Return the newest record of each key."""

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        limit: int = READ_LIMIT,
        on_data: typing.Callable[[], None] | None = None,
    ) -> Page | outcomes.Refusal:
        """Return the records from an offset onwards.

        Parameters
        ----------
        topic : str
            Name of the topic.
        start : int
            Offset of the first record.
        wait : float
            Longest wait for a record, seconds.
        limit : int
            Size limit of the page, bytes.
        on_data : callable, optional
            Called when a part of the page arrives.
        """

    async def append(
        self, topic: str, records: list[Record], expected_end: int
    ) -> int | outcomes.Refusal:
        """Append if the topic ends at `expected_end`; return the new end."""

    async def join(
        self, group: str, member: str, ttl: float, generation: int
    ) -> Membership | outcomes.Refusal:
        """Join a group or renew the membership for `ttl` seconds."""

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""

    async def member_of(
        self, group: str, partition: int
    ) -> str | None | outcomes.Refusal:
        """Return the member that a partition of a group is assigned to."""
