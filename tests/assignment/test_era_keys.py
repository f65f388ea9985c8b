"""Tests of the keys of records in eras of the store."""

from __future__ import annotations

import anyio
import pytest
import trio

from agatestile.assignment import era_keys
from agatestile.assignment import eras
from agatestile.assignment import journal
from agatestile.assignment import ranges
from agatestile.assignment import records
from agatestile.store import port
from tests.assignment import support

ERA = 3
SERVICE_KEY = records.SERVICE_PREFIX + support.SERVICE


def _map(server_id: str) -> ranges.RangeMap:
    owner = ranges.Owner(server_id, 1, 1)
    return ranges.RangeMap([ranges.KeyRange(0, 65535, owner)])


def _unmarked(
    epoch: int, era: int = ERA, owner: str = "old"
) -> list[port.Record]:
    """Return records as a host of an earlier release writes them."""
    return [
        records.encode_map(support.SERVICE, _map(owner)),
        records.encode_leadership(
            records.Leadership(epoch, "host-9", era=era)
        ),
    ]


def _marked(
    epoch: int, era: int = ERA, owner: str = "new"
) -> list[port.Record]:
    added = [
        records.encode_map(support.SERVICE, _map(owner)),
        records.encode_leadership(
            records.Leadership(epoch, "host-1", era=era)
        ),
    ]
    return [
        one._replace(key=era_keys.StoredKey(era, one.key).format())
        for one in added
    ]


def _decode(stored: list[port.Record]) -> records.StoredAssignments:
    by_key = {record.key: record for record in stored}
    page = port.Page(list(by_key.values()), len(stored), era=ERA)
    decoded = records.decode(page)
    assert isinstance(decoded, records.StoredAssignments)
    return decoded


@pytest.mark.parametrize("era", [0, 1, 2, 31])
@pytest.mark.parametrize("name", ["leadership", "service/a/b", ""])
def test_key_round_trips(era: int, name: str) -> None:
    """Guards against records that are read in another era."""
    key = era_keys.StoredKey(era, name)
    parsed = era_keys.StoredKey.parse(key.format())
    assert parsed == key._replace(era=max(era, era_keys.FIRST_ERA))


@pytest.mark.parametrize(
    "text", ["era/", "era/x/leadership", "era/²/a", "era"]
)
def test_other_keys_count_as_of_the_first_era(text: str) -> None:
    """Guards against a reader that fails on a key of another writer."""
    key = era_keys.StoredKey.parse(text)
    assert key == (era_keys.FIRST_ERA, text)


@pytest.mark.parametrize(
    ("stored", "epoch", "owner", "is_unmarked"),
    [
        # An upgrade: nothing names the era yet.
        (_unmarked(7), 7, "old", True),
        (_unmarked(7, era=1), 7, "old", False),
        (_unmarked(7, era=1) + _marked(9), 9, "new", False),
        # A late append of a host of an earlier release.
        (_marked(9) + _unmarked(7, era=1), 9, "new", False),
        # Such a host has taken over, also with an epoch that was used.
        (_marked(9) + _unmarked(10), 10, "old", True),
        (_marked(9) + _unmarked(9), 9, "old", True),
        # Late appends of hosts of this release.
        (_marked(9) + _marked(7, era=2, owner="late"), 9, "new", False),
        (_marked(9) + _marked(7, era=2, owner="late")[:1], 9, "new", False),
        # A leadership of an era in which no map has been stored.
        (
            _unmarked(7, era=1)
            + [
                port.Record(
                    "era/3/leadership",
                    records.encode_leadership(
                        records.Leadership(2008, "host-1", era=1)
                    ).value,
                )
            ],
            2008,
            "old",
            False,
        ),
    ],
)
def test_newest_leadership_names_the_records_that_count(
    stored: list[port.Record], epoch: int, owner: str, is_unmarked: bool
) -> None:
    """Guards against maps of another leader during a rolling upgrade."""
    decoded = _decode(stored)
    assert decoded.leadership.epoch == epoch
    assert decoded.maps[support.SERVICE].find(0).owner.server_id == owner
    assert decoded.is_unmarked == is_unmarked


@pytest.mark.parametrize(
    ("record", "is_late"),
    [
        (_marked(9)[0], False),
        (_marked(8, era=2)[0], True),
        (_marked(8, era=2)[1], True),
        (_unmarked(8)[0], True),
        (_unmarked(8)[1], True),
        (_unmarked(9)[1], False),
        (_unmarked(10)[1], False),
        (port.Record(records.LEADER_KEY, b"\xc1"), False),
    ],
)
def test_only_records_of_earlier_eras_are_late(
    record: port.Record, is_late: bool
) -> None:
    """Guards against a leader that overlooks another one."""
    assert records.is_late(record, ERA, 9) == is_late
    assert not records.is_late(record, era_keys.FIRST_ERA, 9)


def test_takeover_from_an_earlier_release_stores_maps_again() -> None:
    """Guards against an unmarked map that is trusted after the upgrade.

    A host of the earlier release that leads once more has to wait, as it
    reads none of the keys that name the era.
    """

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = ERA
        harness.store.records += _unmarked(7)
        harness.fleet.add("old")
        assert await harness.coordinator.take_leadership() is None
        stored = _decode(harness.store.records)
        assert not stored.is_unmarked
        assert stored.leadership.epoch == harness.coordinator.epoch == 8
        owner = stored.maps[support.SERVICE].find(0).owner
        assert owner.server_id == "old"
        seen = _decode(
            [
                record
                for record in harness.store.records
                if not era_keys.StoredKey.parse(record.key).names_era
            ]
        )
        assert seen.leadership.epoch == 8
        assert eras.is_outdated(seen.leadership, ERA)

    support.run(scenario)


def test_leader_yields_to_a_host_of_an_earlier_release() -> None:
    """Guards against two leaders during a rolling upgrade."""

    async def scenario() -> None:
        store = support.MemoryStore()
        store.era = ERA
        store.records += _marked(9)
        one = journal.Journal(store)
        await one.read()
        store.records += _unmarked(7, era=1)
        assert await one.is_current()
        store.records += _unmarked(10)
        assert await one.is_current() is False
        refusal = await one.append(_marked(9)[0])
        assert refusal is not None

    trio.run(scenario)


def test_settled_leader_deletes_what_earlier_eras_have_left() -> None:
    """Guards against a topic that grows with each restoration."""

    async def scenario(harness: support.CoordinatorHarness) -> None:
        harness.store.era = 1
        harness.fleet.add("a")
        assert await harness.coordinator.take_leadership() is None
        for _ in range(2):
            await anyio.sleep(3.0)
            harness.store.restore(len(harness.store.records))
            for _ in range(80):
                await harness.coordinator.confirm()
                await anyio.sleep(0.2)
            assert harness.coordinator.is_settled
        newest = {one.key: one.value for one in harness.store.records}
        assert {key for key, value in newest.items() if value} == {
            "leadership",
            "era/3/leadership",
            f"era/3/{SERVICE_KEY}",
            f"era/3/{records.SERVERS_PREFIX}{support.SERVICE}",
        }
        assert _decode(harness.store.records).leadership.is_settled

    support.run(scenario)
