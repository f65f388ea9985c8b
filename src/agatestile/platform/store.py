"""Client of the platform's log, which serves as the store."""

from __future__ import annotations

import base64
import struct
import typing
import urllib.parse

import msgspec

from agatestile.observability import events
from agatestile.results import codes
from agatestile.results import decoding
from agatestile.results import outcomes
from agatestile.store import port
from agatestile.transport import client
from agatestile.transport import messages

CALL_TIMEOUT_SECONDS = 1.5
"""Longest wait for a response; a slow store takes 0.3 s."""

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Largest response, bytes. A page of a listing has 1 MB in base64; a page of a
read exceeds its limit by a record at most."""

LISTING_PAGE_LIMIT = 1000
"""Number of pages after which a listing is abandoned."""

_ERA_HEADER = b"store-era"
_MAX_ERA_DIGITS = 18
"""Longest number of an era; hosts send it to each other in 64 bits."""

_CODES = codes.ResultCode
_TOPIC_PREFIX = "keyed."
"""Prefix of topics that keep the newest record of each key."""
_RECORD_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
"""End of the topic and a second number, which is not used."""


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
    """Calls the log over HTTP.

    Parameters
    ----------
    pool : client.Pool
        Connections to the store.
    address : tuple of (str, int)
        Address of the store.
    """

    def __init__(self, pool: client.Pool, address: client.Address) -> None:
        self._pool = pool
        self._address = address
        self._era = 0
        self.calls = 0

    @property
    def era(self) -> int:
        """Return the newest era that a response has named."""
        return self._era

    async def read_newest(self, topic: str) -> port.Page | outcomes.Refusal:
        """Return the newest record of each key."""
        records: list[port.Record] = []
        after = ""
        end = None
        era = None
        receive_seconds = 0.0
        for _ in range(LISTING_PAGE_LIMIT):
            query = {"topic": _TOPIC_PREFIX + topic, "part": "0"}
            if after:
                query["after"] = after
            response = await self._call(b"GET", "/log-newest", query)
            if isinstance(response, outcomes.Refusal):
                return response
            era = self._era if era is None else era
            if era != self._era:
                return outcomes.Refusal(
                    _CODES.LOG_UNAVAILABLE,
                    f"the store was restored while {topic} was listed",
                )
            if response.status == 404:
                return port.Page([], 0, era=era)
            if response.status != 200:
                return _to_refusal(response)
            try:
                listing = msgspec.json.decode(response.body, type=_Listing)
                records += [
                    port.Record(item.key, base64.b64decode(item.value))
                    for item in listing.items
                ]
            except decoding.DECODE_ERRORS as error:
                return _invalid_response(error)
            receive_seconds += response.receive_seconds
            # The pages are not one snapshot, so changes after the first page
            # are read again from its end.
            end = listing.end if end is None else end
            if not listing.hasMore or not listing.items:
                return port.Page(
                    records, end, receive_seconds=receive_seconds, era=era
                )
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
        on_data: typing.Callable[[], None] | None = None,
    ) -> port.Page | outcomes.Refusal:
        """Return records from an offset on, waiting up to `wait` seconds."""
        query = {
            "topic": _TOPIC_PREFIX + topic,
            "part": "0",
            "from": str(start),
            "maxKb": str(max(1, limit // 1024)),
        }
        if wait > 0:
            query["waitMs"] = str(int(wait * 1000))
        response = await self._call(
            b"GET",
            "/log-read",
            query,
            timeout=CALL_TIMEOUT_SECONDS + wait,
            on_data=on_data,
            max_body=max(MAX_RESPONSE_BYTES, 2 * limit),
        )
        if isinstance(response, outcomes.Refusal):
            return response
        if response.status == 404:
            return port.Page([], start, era=self._era)
        if response.status != 200:
            return _to_refusal(response)
        try:
            topic_end, _ = _READ_HEADER.unpack_from(response.body)
            records = list(_split_records(bytes(response.body)))
        except (ValueError, struct.error) as error:
            return _invalid_response(error)
        end = start + len(records)
        return port.Page(
            records,
            end,
            end >= topic_end,
            response.receive_seconds,
            self._era,
        )

    async def append(
        self, topic: str, records: list[port.Record], expected_end: int
    ) -> int | outcomes.Refusal:
        """Append if the topic ends at the expected offset; return its end."""
        query = {
            "topic": _TOPIC_PREFIX + topic,
            "part": "0",
            "asOf": str(expected_end),
        }
        body = b"".join(_encode_record(record) for record in records)
        response = await self._call(b"POST", "/log-append", query, body)
        if isinstance(response, outcomes.Refusal):
            return response
        if response.status != 200:
            return _to_refusal(response)
        try:
            return msgspec.json.decode(response.body, type=_Appended).end
        except decoding.DECODE_ERRORS as error:
            return outcomes.Refusal(_CODES.LOG_OUTCOME_UNKNOWN, str(error))

    async def join(
        self, group: str, member: str, ttl: float, generation: int
    ) -> port.Membership | outcomes.Refusal:
        """Join a group or renew the membership."""
        response = await self._post_json(
            "/log-join",
            {
                "group": group,
                "member": member,
                "topics": [group],
                "ttlMs": int(ttl * 1000),
                "generation": generation,
            },
        )
        if isinstance(response, outcomes.Refusal):
            return response
        try:
            joined = msgspec.json.decode(response.body, type=_Joined)
        except decoding.DECODE_ERRORS as error:
            return _invalid_response(error)
        partitions = frozenset(partition for _, partition, _ in joined.parts)
        return port.Membership(joined.generation, partitions, self._era)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group; without a response the membership expires."""
        await self._post_json("/log-leave", {"group": group, "member": member})

    async def member_of(
        self, group: str, partition: int
    ) -> str | None | outcomes.Refusal:
        """Return the member that owns a partition of a group."""
        response = await self._call(b"GET", "/log-owners", {"group": group})
        if isinstance(response, outcomes.Refusal):
            return response
        if response.status != 200:
            return _to_refusal(response)
        try:
            rows = _decode_owner_rows(bytes(response.body))
        except decoding.DECODE_ERRORS as error:
            return _invalid_response(error)
        for _, owned, member, *_ in rows:
            if owned == partition:
                return member or None
        return None

    async def _post_json(
        self, path: str, fields: dict[str, object]
    ) -> messages.Response | outcomes.Refusal:
        body = msgspec.json.encode(fields)
        response = await self._call(b"POST", path, {}, body)
        if isinstance(response, outcomes.Refusal) or response.status == 200:
            return response
        return _to_refusal(response)

    async def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, str],
        body: bytes = b"",
        timeout: float = CALL_TIMEOUT_SECONDS,
        on_data: typing.Callable[[], None] | None = None,
        max_body: int = MAX_RESPONSE_BYTES,
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
        response = await self._pool.call(
            self._address,
            request,
            timeout,
            connect_timeout=CALL_TIMEOUT_SECONDS,
            data_timeout=CALL_TIMEOUT_SECONDS,
            on_data=on_data,
            max_body=max_body,
        )
        if isinstance(response, messages.Response):
            if self._is_of_newest_era(response):
                return response
            return outcomes.Refusal(
                _CODES.LOG_UNAVAILABLE
                if method == b"GET"
                else _CODES.LOG_OUTCOME_UNKNOWN,
                f"the response is older than era {self._era} of the store",
            )
        is_not_sent = response.kind is messages.FailureKind.NOT_SENT
        if is_not_sent or method == b"GET":
            return outcomes.Refusal(_CODES.LOG_UNAVAILABLE, response.reason)
        return outcomes.Refusal(_CODES.LOG_OUTCOME_UNKNOWN, response.reason)

    def _is_of_newest_era(self, response: messages.Response) -> bool:
        """Note the era of a response; return whether none is newer.

        A response without a readable era counts as of the newest one.
        """
        for name, value in response.headers:
            if name.lower() != _ERA_HEADER:
                continue
            if not value.isdigit() or len(value) > _MAX_ERA_DIGITS:
                continue
            era = int(value)
            if era < self._era:
                return False
            if era > self._era:
                events.emit("store_era", era=era, earlier=self._era)
                self._era = era
        return True


def _decode_owner_rows(body: bytes) -> list[tuple[str, int, str, int]]:
    """Return rows of topic, partition, member and offset.

    The platform's documentation does not name the field that holds the rows.
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
    raise msgspec.DecodeError("the response has no field with rows of owners")


def _split_records(body: bytes) -> typing.Iterator[port.Record]:
    position = _READ_HEADER.size
    while position < len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        content = body[position : position + length]
        if len(content) != length:
            raise ValueError(f"the record at byte {position} is incomplete")
        position += length
        if not content:
            # Counts as a record, but another writer gave it no key.
            yield port.Record("", b"")
            continue
        key_end = 1 + content[0]
        yield port.Record(
            content[1:key_end].decode("utf-8", "backslashreplace"),
            content[key_end:],
        )


def _encode_record(record: port.Record) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return _RECORD_LENGTH.pack(len(content)) + content


def _to_refusal(response: messages.Response) -> outcomes.Refusal:
    reason = (
        f"the store responded with status {response.status}:"
        f" {response.body[:80]!r}"
    )
    if response.status == 412:
        return outcomes.Refusal(_CODES.RECORD_STALE, reason)
    if response.status == 410:
        return outcomes.Refusal(_CODES.LOG_HISTORY_GONE, reason)
    if response.status in (429, 503, 507):
        return outcomes.Refusal(_CODES.LOG_UNAVAILABLE, reason)
    return outcomes.Refusal(_CODES.LOG_OUTCOME_UNKNOWN, reason)


def _invalid_response(error: Exception) -> outcomes.Refusal:
    return outcomes.Refusal(
        _CODES.LOG_UNAVAILABLE,
        f"the response of the store is invalid: {error}",
    )
