"""Stored records of the leadership and of the range maps.

All records are in one topic. Each append names the end of the topic that it
expects, so that a host that lost the leadership cannot change anything.
"""

from __future__ import annotations

import typing

import msgspec

from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.results import decoding
from agatestile.store import port

TOPIC = "agatestile"
LEADER_KEY = "leadership"
SERVICE_PREFIX = "service/"
SERVERS_PREFIX = "servers/"


class Leadership(msgspec.Struct, frozen=True, array_like=True):
    """The host that assigns keys.

    Attributes
    ----------
    epoch : int
        Number of the leadership; increases with each new leader.
    host : str
        Control address of the leader.
    is_resigned : bool
        Whether the leader has stopped renewing grants.
    is_settled : bool
        Whether no earlier leader can renew grants any longer.
    remaining_leases : list of (str, int, float)
        Identifier and incarnation of servers, and for how much longer each
        may hold keys, seconds; empty unless `is_resigned`.
    era : int
        Era of the store in which the maps and servers were last written
        completely. In a later era they may be outdated.
    quota_hosts : list of str
        Hosts that may use shares in the quotas of tenants.
    """

    epoch: int
    host: str
    is_resigned: bool = False
    is_settled: bool = False
    remaining_leases: list[tuple[str, int, float]] = []
    era: int = 0
    quota_hosts: list[str] = []

    def settled(self) -> Leadership:
        """Return it with no earlier leader that can renew grants."""
        return msgspec.structs.replace(self, is_settled=True)


class ServiceRanges(msgspec.Struct, array_like=True):
    """Stored range map of a service.

    Attributes
    ----------
    instances : list of (str, int)
        Identifier and incarnation of the servers in `rows`.
    rows : list of (int, int, int, int, int)
        First key, index of the owner in `instances` and its fencing token,
        index of the source and its fencing token. The index is -1 for
        `UNOWNED`.
    """

    instances: list[tuple[str, int]]
    rows: list[tuple[int, int, int, int, int]]

    @classmethod
    def from_map(cls, key_map: ranges.RangeMap) -> ServiceRanges:
        """Return the stored form of a range map."""
        owners = {
            owner
            for key_range in key_map.ranges
            for owner in (key_range.owner, key_range.source)
            if owner != ranges.UNOWNED
        }
        instances = sorted(
            {(owner.server_id, owner.incarnation) for owner in owners},
            # New servers come last, so that the other indices remain the
            # same and patches between two maps are small.
            key=lambda instance: (instance[1], instance[0]),
        )
        index_by_instance = {
            instance: index for index, instance in enumerate(instances)
        }

        def index_of(owner: ranges.Owner) -> int:
            return index_by_instance.get(
                (owner.server_id, owner.incarnation), -1
            )

        rows = [
            (
                key_range.first,
                index_of(key_range.owner),
                key_range.owner.fence,
                index_of(key_range.source),
                key_range.source.fence,
            )
            for key_range in key_map.ranges
        ]
        return cls(instances, rows)

    def to_map(self, earlier: DecodedRanges | None = None) -> ranges.RangeMap:
        """Return the range map.

        Parameters
        ----------
        earlier : DecodedRanges, optional
            An earlier map of the service, whose unchanged ranges are used.

        Raises
        ------
        ValueError
            If the rows do not cover every key exactly once.
        """
        firsts = [row[0] for row in self.rows]
        is_sorted = all(a < b for a, b in zip(firsts, firsts[1:]))
        if not firsts or firsts[0] != 0 or not is_sorted:
            raise ValueError("first keys of rows must start at 0 and ascend")
        if firsts[-1] >= ranges.KEY_COUNT:
            raise ValueError(f"row starts after the last key: {firsts[-1]}")
        lasts = [first - 1 for first in firsts[1:]] + [ranges.KEY_COUNT - 1]
        unchanged: typing.Iterator[
            tuple[tuple[int, int, int, int, int], ranges.KeyRange]
        ] = iter(())
        if earlier is not None and earlier.stored.instances == self.instances:
            unchanged = zip(earlier.stored.rows, earlier.key_map.ranges)
        result = []
        known = next(unchanged, None)
        for row, last in zip(self.rows, lasts):
            while known is not None and known[0][0] < row[0]:
                known = next(unchanged, None)
            if known is not None and known[0] == row and known[1].last == last:
                result.append(known[1])
            else:
                result.append(self._to_range(row, last))
        return ranges.RangeMap(result)

    def _to_range(
        self, row: tuple[int, int, int, int, int], last: int
    ) -> ranges.KeyRange:
        return ranges.KeyRange(
            row[0],
            last,
            self._owner(row[1], row[2]),
            self._owner(row[3], row[4]),
        )

    def _owner(self, index: int, fence: int) -> ranges.Owner:
        if index < 0:
            return ranges.UNOWNED
        if index >= len(self.instances):
            raise ValueError(f"row refers to an unlisted server: {index}")
        return ranges.Owner(*self.instances[index], fence)


class ServiceServers(msgspec.Struct, frozen=True, array_like=True):
    """Stored servers that may hold keys of a service.

    A successor has to reach them even if service discovery has dropped them.

    Attributes
    ----------
    recipients : list of (str, int, str, int)
        Identifier, incarnation, IP address and port of each server that the
        range map or `owed` names.
    owed : list of (str, int, int)
        Identifier of a server, and the first and last key that it still has
        to release.
    """

    recipients: list[tuple[str, int, str, int]] = []
    owed: list[tuple[str, int, int]] = []

    @classmethod
    def from_state(
        cls,
        recipients: typing.Iterable[ports.Recipient],
        owed: typing.Iterable[ranges.OwedRelease],
    ) -> ServiceServers:
        """Return the stored form."""
        return cls(
            sorted(
                (one.server_id, one.incarnation, *one.address)
                for one in recipients
            ),
            sorted(owed),
        )

    def to_recipients(self) -> list[ports.Recipient]:
        """Return the servers as recipients of orders."""
        return [
            ports.Recipient(server_id, incarnation, (ip, port_number))
            for server_id, incarnation, ip, port_number in self.recipients
        ]

    def to_owed_releases(self) -> set[ranges.OwedRelease]:
        """Return the releases that have not been confirmed."""
        return {ranges.OwedRelease(*one) for one in self.owed}


NO_SERVERS = ServiceServers()


class DecodedRanges(typing.NamedTuple):
    """Range map of a service with its stored form."""

    stored: ServiceRanges
    key_map: ranges.RangeMap


class StoredAssignments(typing.NamedTuple):
    """Decoded content of the topic.

    Attributes
    ----------
    leadership : Leadership
        Newest leadership; epoch 0 if there was none.
    maps : dict
        Range map by service.
    servers : dict
        Servers that may hold keys by service.
    end : int
        Offset that the next append has to expect.
    """

    leadership: Leadership
    maps: dict[str, ranges.RangeMap]
    servers: dict[str, ServiceServers]
    end: int


def decode(page: port.Page) -> StoredAssignments | str:
    """Return the content of the topic, or why it cannot be decoded."""
    leadership = Leadership(0, "")
    maps = {}
    servers = {}
    for record in page.records:
        try:
            if record.key == LEADER_KEY:
                leadership = msgspec.msgpack.decode(
                    record.value, type=Leadership
                )
            elif record.key.startswith(SERVICE_PREFIX) and record.value:
                stored = msgspec.msgpack.decode(
                    record.value, type=ServiceRanges
                )
                name = record.key.removeprefix(SERVICE_PREFIX)
                maps[name] = stored.to_map()
            elif record.key.startswith(SERVERS_PREFIX) and record.value:
                name = record.key.removeprefix(SERVERS_PREFIX)
                servers[name] = msgspec.msgpack.decode(
                    record.value, type=ServiceServers
                )
        except decoding.DECODE_ERRORS as error:
            return f"record {record.key!r} cannot be decoded: {error}"
    return StoredAssignments(leadership, maps, servers, page.end)


def encode_leadership(leadership: Leadership) -> port.Record:
    """Return the record that stores a leadership."""
    fields = msgspec.structs.astuple(leadership)
    if not leadership.quota_hosts:
        # The record stays as earlier releases write it.
        fields = fields[:-1] if leadership.era else fields[:-2]
    return port.Record(LEADER_KEY, msgspec.msgpack.encode(fields))


def encode_map(service: str, key_map: ranges.RangeMap) -> port.Record:
    """Return the record that stores the range map of a service."""
    value = msgspec.msgpack.encode(ServiceRanges.from_map(key_map))
    return port.Record(SERVICE_PREFIX + service, value)


def encode_servers(service: str, servers: ServiceServers) -> port.Record:
    """Return the record that stores the servers of a service."""
    return port.Record(
        SERVERS_PREFIX + service, msgspec.msgpack.encode(servers)
    )
