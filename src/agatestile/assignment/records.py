"""Stored records of the leadership and of the range maps.

All records are in one topic. Each append names the end of the topic that it
expects, so that a host that lost the leadership cannot change anything. The
keys below are names within an era of the store, see `era_keys`.
"""

from __future__ import annotations

import typing

import msgspec

from agatestile.assignment import era_keys
from agatestile.assignment import leases
from agatestile.assignment import ports
from agatestile.assignment import ranges
from agatestile.results import decoding
from agatestile.store import port

TOPIC = "agatestile"
LEADER_KEY = "leadership"
SERVICE_PREFIX = "service/"
SERVERS_PREFIX = "servers/"

T = typing.TypeVar("T")


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

    def is_later_than(self, other: Leadership) -> bool:
        """Return whether it can't have been written before another one.

        A host of an earlier release may use an epoch that a host of this one
        has used.
        """
        if self.epoch == other.epoch:
            return self.host != other.host
        return self.epoch > other.epoch


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
    is_unmarked : bool
        Whether a host of an earlier release wrote the leadership in an era
        that its keys don't name.
    """

    leadership: Leadership
    maps: dict[str, ranges.RangeMap]
    servers: dict[str, ServiceServers]
    end: int
    is_unmarked: bool = False


class _UndecodableError(ValueError):
    """A record that can't be decoded."""


def decode(page: port.Page) -> StoredAssignments | str:
    """Return the content of the topic, or why it cannot be decoded.

    Of each key, only the record of the newest era counts. An append that was
    delayed into a later era has left the others, or the era before it.
    """
    value_by_name_by_era: dict[int, dict[str, bytes]] = {}
    for record in page.records:
        key = era_keys.StoredKey.parse(record.key)
        values = value_by_name_by_era.setdefault(key.era, {})
        values[key.name] = record.value
    try:
        era, leadership = _newest_leadership(value_by_name_by_era)
        names_no_era = era == era_keys.FIRST_ERA
        is_unmarked = names_no_era and leadership.era > era_keys.FIRST_ERA
        # A leader stores its epoch before it stores maps in a new era.
        maps_era = max(era_keys.FIRST_ERA, min(era, leadership.era))
        maps, servers = _decode_services(
            value_by_name_by_era.get(maps_era, {})
        )
    except _UndecodableError as error:
        return str(error)
    return StoredAssignments(leadership, maps, servers, page.end, is_unmarked)


def _newest_leadership(
    value_by_name_by_era: dict[int, dict[str, bytes]],
) -> tuple[int, Leadership]:
    """Return the newest leadership, and the era that its key names."""
    by_era = {
        era: _decode_value(LEADER_KEY, values[LEADER_KEY], Leadership)
        for era, values in value_by_name_by_era.items()
        if values.get(LEADER_KEY)
    }
    if not by_era:
        return era_keys.FIRST_ERA, Leadership(0, "")
    era = max(by_era)
    newest = by_era[era]
    unmarked = by_era.get(era_keys.FIRST_ERA, newest)
    if unmarked.is_later_than(newest):
        return era_keys.FIRST_ERA, unmarked
    return era, newest


def _decode_services(
    value_by_name: dict[str, bytes],
) -> tuple[dict[str, ranges.RangeMap], dict[str, ServiceServers]]:
    maps = {}
    servers = {}
    for name, value in value_by_name.items():
        if not value:
            continue
        if name.startswith(SERVICE_PREFIX):
            service = name.removeprefix(SERVICE_PREFIX)
            stored = _decode_value(name, value, ServiceRanges)
            try:
                maps[service] = stored.to_map()
            except ValueError as error:
                raise _undecodable(name, error) from error
        elif name.startswith(SERVERS_PREFIX):
            service = name.removeprefix(SERVERS_PREFIX)
            servers[service] = _decode_value(name, value, ServiceServers)
    return maps, servers


def _decode_value(name: str, value: bytes, kind: type[T]) -> T:
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except decoding.DECODE_ERRORS as error:
        raise _undecodable(name, error) from error


def _undecodable(name: str, error: Exception) -> _UndecodableError:
    return _UndecodableError(f"record {name!r} cannot be decoded: {error}")


def is_late(record: port.Record, era: int, epoch: int) -> bool:
    """Return whether an append was delayed from an earlier era.

    Parameters
    ----------
    record : port.Record
        Record of the append as it was read.
    era : int
        Era of the store in which it was carried out.
    epoch : int
        Newest epoch that is known.
    """
    key = era_keys.StoredKey.parse(record.key)
    if key.era >= era:
        return False
    if key.names_era or key.name != LEADER_KEY or not record.value:
        return True
    # A host of an earlier release that takes over now has a later epoch.
    try:
        return _decode_value(key.name, record.value, Leadership).epoch < epoch
    except _UndecodableError:
        return False


def epoch_of(record: port.Record) -> int:
    """Return the newest epoch that a record names; 0 if it names none.

    Tokens name the epoch of the leader that has issued them.
    """
    name = era_keys.StoredKey.parse(record.key).name
    try:
        if name == LEADER_KEY:
            return _decode_value(name, record.value, Leadership).epoch
        if not name.startswith(SERVICE_PREFIX):
            return 0
        stored = _decode_value(name, record.value, ServiceRanges)
    except _UndecodableError:
        return 0
    fence = max((row[2] for row in stored.rows), default=0)
    return leases.FencingTokens.epoch_of(fence)


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


def encode_all(
    maps: dict[str, ranges.RangeMap], servers: dict[str, ServiceServers]
) -> list[port.Record]:
    """Return the records that store all maps and servers."""
    return [encode_map(name, key_map) for name, key_map in maps.items()] + [
        encode_servers(name, one) for name, one in servers.items()
    ]


def encode_for_earlier_releases(leadership: Leadership) -> port.Record:
    """Return the record that a host of an earlier release reads.

    Such a host reads no keys that name an era. It learns the epoch, and that
    the maps that it reads are of an earlier era, so that it waits.
    """
    return encode_leadership(Leadership(leadership.epoch, leadership.host))
