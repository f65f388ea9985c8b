"""Stand-in of the platform's store, after PROTOCOL.md and letter 6."""

import asyncio
import base64
import json
import time
import urllib.parse

import http_ as http

PARTS = 24


class Topic:
    """Records of the only partition in use, with their append times."""

    def __init__(self):
        self.records = []
        self.boundaries = [(time.monotonic(), 0)]
        self.changed = asyncio.Event()

    def append(self, records):
        self.records += records
        self.boundaries.append((time.monotonic(), len(self.records)))
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, copied_at):
        """Return to the copy of a time."""
        while self.boundaries[-1][0] > copied_at:
            self.boundaries.pop()
        del self.records[self.boundaries[-1][1] :]
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The store; `on_append` may take over an append of the system."""

    def __init__(self, note):
        self._note = note
        self.era = 1
        self.is_down = False
        self.on_append = None
        self.after_append = lambda: None
        self.topics = {}
        self._groups = {}
        self._server = http.Server(self._handle)

    async def start(self, host, port):
        await self._server.start(host, port)

    async def stop(self):
        await self._server.stop()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write as the operator and the servers do; no value deletes."""
        name = key.encode()
        self.topic(topic).append([bytes((len(name),)) + name + value])

    def restore(self, copied_at):
        """Come back from a copy; memberships are lost as well."""
        for topic in self.topics.values():
            topic.restore(copied_at)
        self._groups.clear()
        self.era += 1

    def leader(self):
        """Return the member that holds partition 0 of the hosts' group."""
        for group in self._groups.values():
            self._expire(group)
            if group["members"]:
                return next(iter(group["members"]))
        return ""

    async def _handle(self, request):
        if self.is_down:
            answer = (503, [], b"")
        else:
            url = urllib.parse.urlsplit(request.target)
            query = dict(urllib.parse.parse_qsl(url.query))
            name = "_" + url.path.strip("/").replace("-", "_")
            answer = await getattr(self, name)(query, request.body)
        if answer is None:
            return None
        status, headers, body = answer
        return status, [*headers, ("Store-Era", str(self.era))], body

    async def _log_append(self, query, body):
        name = query["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return 403, [], b""
        records, position = [], 0
        while position < len(body):
            size = int.from_bytes(body[position : position + 4], "big")
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        if self.on_append is not None:
            if self.on_append(name, query, records):
                return None
        answer = self.append(name, query.get("asOf"), records)
        self.after_append()
        return answer

    def append(self, name, as_of, records):
        topic = self.topic(name)
        end = len(topic.records)
        if as_of is not None and int(as_of) != end:
            return _json(412, {"end": end})
        topic.append(records)
        keys = [r[1 : 1 + r[0]].decode() for r in records]
        self._note(
            "store_append", topic=name, offset=end, keys=keys, era=self.era
        )
        return _json(200, {"offset": end, "end": len(topic.records)})

    async def _log_read(self, query, body):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        if start > len(topic.records):
            return _json(410, {"first": 0})
        wait = int(query.get("waitMs", "0")) / 1000
        if start == len(topic.records) and wait:
            try:
                async with asyncio.timeout(wait):
                    await topic.changed.wait()
            except TimeoutError:
                pass
            if start > len(topic.records):
                return _json(410, {"first": 0})
        out = [len(topic.records).to_bytes(8, "big"), bytes(8)]
        left = int(query.get("maxKb", "1024")) * 1024
        for record in topic.records[start:]:
            if len(record) > left and len(out) > 2:
                break
            left -= len(record)
            out += [len(record).to_bytes(4, "big"), record]
        return 200, [], b"".join(out)

    async def _log_newest(self, query, body):
        newest = {}
        records = self.topic(query["topic"]).records
        for offset, record in enumerate(records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        after = query.get("after", "")
        rows = sorted(
            (key, offset, value)
            for key, (offset, value) in newest.items()
            if value and key > after
        )
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, offset, value in rows[:500]
        ]
        fields = {"items": items, "hasMore": len(rows) > 500}
        return _json(200, {**fields, "end": len(records)})

    def _group(self, name):
        group = self._groups.setdefault(
            name, {"generation": 0, "members": {}, "topics": []}
        )
        self._expire(group)
        return group

    @staticmethod
    def _expire(group):
        now = time.monotonic()
        for member, until in list(group["members"].items()):
            if until < now:
                del group["members"][member]
                group["generation"] += 1

    async def _log_join(self, query, body):
        fields = json.loads(body)
        group = self._group(fields["group"])
        member = fields["member"]
        if member not in group["members"]:
            group["generation"] += 1
        group["members"][member] = time.monotonic() + fields["ttlMs"] / 1000
        group["topics"] = fields["topics"]
        members = list(group["members"])
        parts = [
            [fields["topics"][0], part, 0]
            for part in range(PARTS)
            if members[part % len(members)] == member
        ]
        return _json(200, {"generation": group["generation"], "parts": parts})

    async def _log_leave(self, query, body):
        fields = json.loads(body)
        group = self._group(fields["group"])
        if group["members"].pop(fields["member"], None) is not None:
            group["generation"] += 1
        return _json(200, {})

    async def _log_owners(self, query, body):
        group = self._group(query["group"])
        members = list(group["members"])
        rows = [
            [topic, part, members[part % len(members)], 0]
            for topic in group["topics"]
            for part in range(PARTS)
            if members
        ]
        return _json(200, {"rows": rows})


def _json(status, fields):
    headers = [("content-type", "application/json")]
    return status, headers, json.dumps(fields).encode()
