"""Stand-in for the platform's store: topics of keyed records and groups."""

from __future__ import annotations

import asyncio
import base64
import time
import typing
import urllib.parse

import msgspec

from agatestile.catalog import configuration
from agatestile.transport import messages
from agatestile.transport import server


LATEST_APPEND_SECONDS = 6.0
"""Longest time in which an append without an answer may be carried out."""

HELD_APPEND_POLL_SECONDS = 0.005


class _Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.appended_at: list[float] = []
        self.changed = asyncio.Event()

    def append(self, records: list[bytes]) -> None:
        self.records += records
        self.appended_at += [time.monotonic()] * len(records)
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, copied_at: float) -> None:
        """Return to the records of a time; offsets are assigned again."""
        while self.appended_at and self.appended_at[-1] > copied_at:
            del self.appended_at[-1], self.records[-1]
        self.changed.set()
        self.changed = asyncio.Event()


class _HeldAppend(typing.NamedTuple):
    """An append without an answer, which is carried out in a later era."""

    topic: str
    expected_end: int
    records: list[bytes]
    era: int
    deadline: float


class _Group:
    def __init__(self) -> None:
        self.generation = 0
        self.deadline_by_member: dict[str, float] = {}

    def expire(self, now: float) -> None:
        for member, deadline in list(self.deadline_by_member.items()):
            if deadline < now:
                del self.deadline_by_member[member]
                self.generation += 1

    def owner(self) -> str:
        return next(iter(self.deadline_by_member), "")


class PlatformLog:
    """The platform's store, with faults that a test can turn on.

    Attributes
    ----------
    is_down : bool
        Whether every call gets status 503.
    loses_answers : bool
        Whether writes take effect but get no response.
    delay : float
        Delay of each response, seconds.
    address_by_member : dict of str to str
        Address under which hosts reach a member of a group.
    era : int or None
        Number in the header Store-Era of each response, None to leave it out.
    late_appends : int
        Number of appends that were carried out in a later era.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.loses_answers = False
        self.delay = 0.0
        self.era: int | None = None
        self.late_appends = 0
        self._holds_next = False
        self._held: _HeldAppend | None = None
        self._carrying_out: asyncio.Task[None] | None = None
        self.address_by_member: dict[str, str] = {}
        self._topics: dict[str, _Topic] = {}
        self._groups: dict[str, _Group] = {}
        self._listener = server.Listener(self._handle, _limits)

    async def start(self, port: int) -> None:
        """Start listening on 127.0.0.1."""
        await self._listener.start("127.0.0.1", port)

    def leader(self) -> str:
        """Return the member of the hosts' group that leads, if any."""
        return self._group("agatestile.leader").owner()

    def stop(self) -> None:
        """Stop listening."""
        self._listener.stop()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, as operators and backend servers do."""
        name = key.encode()
        record = bytes((len(name),)) + name + value
        self._topic(topic).append([record])

    def keys(self, topic: str) -> set[str]:
        """Return the keys of a topic."""
        return {
            record[1 : 1 + record[0]].decode()
            for record in self._topic(topic).records
        }

    def restore(self, age: float) -> None:
        """Return to the copy of `age` seconds ago, without memberships."""
        copied_at = time.monotonic() - age
        for topic in self._topics.values():
            topic.restore(copied_at)
        self._groups.clear()
        self.era = (self.era or 0) + 1

    def hold_next_append(self) -> None:
        """Leave the next conditional append without an answer.

        It is carried out once the store is in a later era and the topic ends
        where it is expected to, within `LATEST_APPEND_SECONDS`.
        """
        self._holds_next = True

    @property
    def holds_append(self) -> bool:
        """Whether an append waits to be carried out."""
        return self._held is not None

    def copies_before_held(
        self, lost: range, longest_age: float
    ) -> list[float]:
        """Return the ages of copies that end shortly before the held append.

        Parameters
        ----------
        lost : range
            How many records before it they may end.
        longest_age : float
            Age of the oldest copy, seconds.
        """
        if self._held is None:
            return []
        appended_at = self._topic(self._held.topic).appended_at
        ages = []
        for count in lost:
            end = self._held.expected_end - count
            if end > 0 and appended_at[end - 1] < appended_at[end]:
                # The newest copy that lacks the next record.
                copied_at = (appended_at[end - 1] + 3 * appended_at[end]) / 4
                ages.append(time.monotonic() - copied_at)
        return [age for age in ages if age <= longest_age]

    async def _carry_out_held(self, held: _HeldAppend) -> None:
        topic = self._topic(held.topic)
        while time.monotonic() < held.deadline:
            is_later = (self.era or 0) > held.era
            if is_later and len(topic.records) == held.expected_end:
                topic.append(held.records)
                self.late_appends += 1
                break
            await asyncio.sleep(HELD_APPEND_POLL_SECONDS)
        self._held = None

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _handle(self, request: messages.Request) -> messages.Response:
        response = await self._respond(request)
        if self.era is None:
            return response
        header = (b"Store-Era", str(self.era).encode())
        return response._replace(headers=[*response.headers, header])

    async def _respond(self, request: messages.Request) -> messages.Response:
        if self.is_down:
            return messages.Response(503, [], b"")
        if self.delay:
            await asyncio.sleep(self.delay)
        target = urllib.parse.urlsplit(request.target.decode())
        query = dict(urllib.parse.parse_qsl(target.query))
        handler = getattr(self, "_" + target.path.strip("/").replace("-", "_"))
        response: messages.Response = await handler(query, request.body)
        if self.loses_answers and request.method == b"POST":
            await asyncio.sleep(60.0)
        return response

    async def _log_append(
        self, query: dict[str, str], body: bytes
    ) -> messages.Response:
        topic = self._topic(query["topic"])
        expected = query.get("asOf")
        if expected is not None and int(expected) != len(topic.records):
            return _json(412, {"end": len(topic.records)})
        records = []
        position = 0
        while position < len(body):
            length = int.from_bytes(body[position : position + 4], "big")
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        if self._holds_next and expected is not None:
            self._holds_next = False
            self._held = _HeldAppend(
                query["topic"],
                int(expected),
                records,
                self.era or 0,
                time.monotonic() + LATEST_APPEND_SECONDS,
            )
            # The caller may close the connection meanwhile.
            self._carrying_out = asyncio.create_task(
                self._carry_out_held(self._held)
            )
            await asyncio.shield(self._carrying_out)
            return messages.Response(503, [], b"")
        offset = len(topic.records)
        topic.append(records)
        return _json(200, {"offset": offset, "end": len(topic.records)})

    async def _log_read(
        self, query: dict[str, str], body: bytes
    ) -> messages.Response:
        topic = self._topic(query["topic"])
        start = int(query["from"])
        if start > len(topic.records):
            return _json(410, {"end": len(topic.records)})
        wait = int(query.get("waitMs", "0")) / 1000.0
        if start >= len(topic.records) and wait:
            try:
                async with asyncio.timeout(wait):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        parts = [len(topic.records).to_bytes(8, "big"), bytes(8)]
        remaining = int(query.get("maxKb", "1024")) * 1024
        for record in topic.records[start:]:
            # The first record is returned whatever its size.
            if len(record) > remaining and len(parts) > 2:
                break
            remaining -= len(record)
            parts += [len(record).to_bytes(4, "big"), record]
        return messages.Response(200, [], b"".join(parts))

    async def _log_newest(
        self, query: dict[str, str], body: bytes
    ) -> messages.Response:
        topic = self._topic(query["topic"])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(topic.records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        return _json(
            200, {"items": items, "hasMore": False, "end": len(topic.records)}
        )

    async def _log_join(
        self, query: dict[str, str], body: bytes
    ) -> messages.Response:
        fields = msgspec.json.decode(body)
        group = self._group(fields["group"])
        member = fields["member"]
        if member not in group.deadline_by_member:
            group.generation += 1
        now = asyncio.get_running_loop().time()
        group.deadline_by_member[member] = now + fields["ttlMs"] / 1000.0
        parts = []
        if group.owner() == member:
            parts = [[fields["topics"][0], 0, 0]]
        return _json(200, {"generation": group.generation, "parts": parts})

    async def _log_leave(
        self, query: dict[str, str], body: bytes
    ) -> messages.Response:
        fields = msgspec.json.decode(body)
        group = self._group(fields["group"])
        if group.deadline_by_member.pop(fields["member"], None) is not None:
            group.generation += 1
        return _json(200, {})

    async def _log_owners(
        self, query: dict[str, str], body: bytes
    ) -> messages.Response:
        owner = self._group(query["group"]).owner()
        owner = self.address_by_member.get(owner, owner)
        rows = [[query["group"], 0, owner, 0]] if owner else []
        return _json(200, {"rows": rows})

    def _group(self, name: str) -> _Group:
        group = self._groups.setdefault(name, _Group())
        group.expire(asyncio.get_running_loop().time())
        return group


def _limits() -> configuration.CallerLimits:
    return configuration.CallerLimits()


def _json(status: int, fields: dict[str, typing.Any]) -> messages.Response:
    headers = [(b"content-type", b"application/json")]
    return messages.Response(status, headers, msgspec.json.encode(fields))
