"""The platform's log, as the store of the program."""

from __future__ import annotations

import base64
import struct
import typing
import urllib.parse

import msgspec

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port
from agatestile.transport import client
from agatestile.transport import messages

CALL_TIMEOUT_SECONDS = 1.5
"""Longest wait for an answer, seconds; a slow store takes 0.3 s."""

LISTING_PAGE_LIMIT = 1000
"""Pages of one listing after which it is given up."""

_CODES = codes.ResultCode
_TOPIC_PREFIX = "keyed."
"""Names of topics that keep the newest record of each key."""
_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Listing(msgspec.Struct):
    items: list[_Item]
    end: int
    hasMore: bool = False


class _Appended(msgspec.Struct):
    end: int


class _Joined(msgspec.Struct):
    generation: int
    # Rows of topic, partition and committed offset.
    parts: list[tuple[str, int, int]]


class PlatformStore:
    """Calls to the log.

    Parameters
    ----------
    pool : client.Pool
        Connections to the store.
    address : tuple of (str, int)
        Where the store listens.
    """

    def __init__(self, pool: client.Pool, address: client.Address) -> None:
        self._pool = pool
        self._address = address
        self.calls = 0

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        """Return the newest record of each key."""
        records: list[port.Record] = []
        after = ""
        end = None
        for _ in range(LISTING_PAGE_LIMIT):
            query = {"topic": _TOPIC_PREFIX + topic, "part": "0"}
            if after:
                query["after"] = after
            answer = await self._call(b"GET", "/log-newest", query)
            if isinstance(answer, outcomes.Refusal):
                return answer
            if answer.status == 404:
                return port.Page([], 0)
            if answer.status != 200:
                return _refusal(answer)
            try:
                listing = msgspec.json.decode(answer.body, type=_Listing)
                records += [
                    port.Record(item.key, base64.b64decode(item.value))
                    for item in listing.items
                ]
            except (msgspec.DecodeError, ValueError) as error:
                return _unreadable(error)
            # Pages are not a snapshot; what changes after the first page
            # is read again from its end.
            end = listing.end if end is None else end
            if not listing.hasMore or not listing.items:
                return port.Page(records, end)
            after = listing.items[-1].key
        return outcomes.Refusal(
            _CODES.LOG_UNAVAILABLE,
            f"{topic} has more than {LISTING_PAGE_LIMIT} pages",
        )

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        limit: int = port.READ_LIMIT,
    ) -> port.Page | outcomes.Refusal:
        """Return records from an offset on, waiting for one, seconds."""
        query = {
            "topic": _TOPIC_PREFIX + topic,
            "part": "0",
            "from": str(start),
            "maxKb": str(max(1, limit // 1024)),
        }
        if wait > 0:
            query["waitMs"] = str(int(wait * 1000))
        answer = await self._call(
            b"GET", "/log-read", query, timeout=CALL_TIMEOUT_SECONDS + wait
        )
        if isinstance(answer, outcomes.Refusal):
            return answer
        if answer.status == 404:
            return port.Page([], start)
        if answer.status != 200:
            return _refusal(answer)
        try:
            topic_end, _ = _BOUNDS.unpack_from(answer.body)
            records = list(_split(answer.body))
        except (ValueError, struct.error) as error:
            return _unreadable(error)
        end = start + len(records)
        return port.Page(records, end, end >= topic_end)

    async def append(
        self, topic: str, records: list[port.Record], expected_end: int
    ) -> int | outcomes.Refusal:
        """Append if the topic ends at an offset; return the new end."""
        query = {
            "topic": _TOPIC_PREFIX + topic,
            "part": "0",
            "asOf": str(expected_end),
        }
        body = b"".join(_encode(record) for record in records)
        answer = await self._call(b"POST", "/log-append", query, body)
        if isinstance(answer, outcomes.Refusal):
            return answer
        if answer.status != 200:
            return _refusal(answer)
        try:
            return msgspec.json.decode(answer.body, type=_Appended).end
        except msgspec.DecodeError as error:
            return outcomes.Refusal(_CODES.LOG_OUTCOME_UNKNOWN, str(error))

    async def join(
        self, group: str, member: str, ttl: float, generation: int
    ) -> port.Membership | outcomes.Refusal:
        """Join a group or stay in it."""
        answer = await self._post_json(
            "/log-join",
            {
                "group": group,
                "member": member,
                "topics": [group],
                "ttlMs": int(ttl * 1000),
                "generation": generation,
            },
        )
        if isinstance(answer, outcomes.Refusal):
            return answer
        try:
            joined = msgspec.json.decode(answer.body, type=_Joined)
        except msgspec.DecodeError as error:
            return _unreadable(error)
        partitions = frozenset(partition for _, partition, _ in joined.parts)
        return port.Membership(joined.generation, partitions)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group; without an answer the membership expires."""
        await self._post_json("/log-leave", {"group": group, "member": member})

    async def member_of(
        self, group: str, partition: int
    ) -> str | None | outcomes.Refusal:
        """Return the member that holds a partition of a group."""
        answer = await self._call(b"GET", "/log-owners", {"group": group})
        if isinstance(answer, outcomes.Refusal):
            return answer
        if answer.status != 200:
            return _refusal(answer)
        try:
            rows = _owner_rows(answer.body)
        except msgspec.DecodeError as error:
            return _unreadable(error)
        for _, known, member, *_ in rows:
            if known == partition:
                return member or None
        return None

    async def _post_json(
        self, path: str, fields: dict[str, object]
    ) -> messages.Response | outcomes.Refusal:
        body = msgspec.json.encode(fields)
        answer = await self._call(b"POST", path, {}, body)
        if isinstance(answer, outcomes.Refusal) or answer.status == 200:
            return answer
        return _refusal(answer)

    async def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, str],
        body: bytes = b"",
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> messages.Response | outcomes.Refusal:
        self.calls += 1
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        request = messages.Request(
            method,
            target.encode(),
            [(b"content-type", b"application/json")],
            body,
        )
        answer = await self._pool.call(
            self._address, request, timeout, restart_timeout_on_data=True
        )
        if isinstance(answer, messages.Response):
            return answer
        is_known = answer.kind is messages.FailureKind.NOT_SENT
        if is_known or method == b"GET":
            return outcomes.Refusal(_CODES.LOG_UNAVAILABLE, answer.reason)
        return outcomes.Refusal(_CODES.LOG_OUTCOME_UNKNOWN, answer.reason)


def _owner_rows(body: bytes) -> list[tuple[str, int, str, int]]:
    """Return rows of topic, partition, member and offset.

    The published pages don't name the field that holds the rows.
    """
    fields = msgspec.json.decode(
        body, type=dict[str, msgspec.Raw] | list[msgspec.Raw]
    )
    if isinstance(fields, list):
        return msgspec.json.decode(body, type=list[tuple[str, int, str, int]])
    for raw in fields.values():
        try:
            return msgspec.json.decode(
                raw, type=list[tuple[str, int, str, int]]
            )
        except msgspec.ValidationError:
            continue
    raise msgspec.DecodeError("no rows of owners in the answer")


def _split(body: bytes) -> typing.Iterator[port.Record]:
    place = _BOUNDS.size
    while place < len(body):
        (length,) = _LENGTH.unpack_from(body, place)
        place += _LENGTH.size
        content = body[place : place + length]
        if len(content) != length or not content:
            raise ValueError("a record is incomplete")
        place += length
        key_end = 1 + content[0]
        yield port.Record(
            content[1:key_end].decode("utf-8", "backslashreplace"),
            content[key_end:],
        )


def _encode(record: port.Record) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return _LENGTH.pack(len(content)) + content


def _refusal(answer: messages.Response) -> outcomes.Refusal:
    reason = f"the store answered {answer.status}: {answer.body[:80]!r}"
    if answer.status == 412:
        return outcomes.Refusal(_CODES.RECORD_STALE, reason)
    if answer.status == 410:
        return outcomes.Refusal(_CODES.LOG_HISTORY_GONE, reason)
    if answer.status in (429, 503, 507):
        return outcomes.Refusal(_CODES.LOG_UNAVAILABLE, reason)
    return outcomes.Refusal(_CODES.LOG_OUTCOME_UNKNOWN, reason)


def _unreadable(error: Exception) -> outcomes.Refusal:
    return outcomes.Refusal(
        _CODES.LOG_UNAVAILABLE, f"the answer can't be read: {error}"
    )
