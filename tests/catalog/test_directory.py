"""Tests of the directory of backend servers."""

from __future__ import annotations

from agatestile.catalog import directory


def entry(
    name: str = "a", incarnation: int = 1, sequence: int = 1, **changes: object
) -> directory.ServerEntry:
    """Return an entry of service discovery."""
    return directory.ServerEntry(
        name,
        incarnation,
        sequence,
        "prices",
        ("127.0.0.1", 1),
        "anna",
        2,
        False,
        0.0,
    )._replace(**changes)


def test_late_heartbeat_does_not_undo_a_newer_one() -> None:
    """Guards against reports that arrive out of order."""
    servers = directory.Directory()
    servers.put(entry(sequence=5, is_draining=True), 0.0)
    assert not servers.put(entry(sequence=4), 1.0)
    assert servers.by_id["a"].leaving_since == 0.0


def test_draining_lasts_until_the_server_restarts() -> None:
    """Guards against a later report that ends the draining of a server."""
    servers = directory.Directory()
    servers.put(entry(sequence=5, is_draining=True), 0.0)
    servers.put(entry(sequence=6), 1.0)
    assert servers.by_id["a"].leaving_since == 0.0
    servers.put(entry(incarnation=2, sequence=1), 2.0)
    assert servers.by_id["a"].leaving_since is None


def test_removed_server_leaves_and_is_kept_for_its_keys() -> None:
    """Guards against removed servers that cannot hand over their keys."""
    servers = directory.Directory()
    servers.put(entry(), 0.0)
    servers.remove("a", 1.0)
    assert servers.expire(1.0) == ["a"]
    assert servers.by_id["a"].leaving_since == 1.0


def test_entries_lost_in_an_outage_have_time_to_reappear() -> None:
    """Guards against removing servers whose entries expired in an outage."""
    servers = directory.Directory()
    servers.put(entry(), 0.0)
    servers.put(entry("b"), 0.0)
    servers.on_outage_end(10.0)
    servers.remove("a", 10.0)
    servers.remove("b", 10.0)
    assert servers.expire(11.0) == []
    servers.put(entry(sequence=2), 11.5)
    assert servers.expire(10.0 + directory.REAPPEARANCE_SECONDS) == ["b"]
    assert servers.by_id["a"].leaving_since is None


def test_departing_server_whose_entry_returns_is_still_leaving() -> None:
    """Guards against a bound that starts again when an entry reappears.

    Entries expire in an outage of the store and are written again after it.
    """
    servers = directory.Directory()
    servers.put(entry(is_draining=True), 1.0)
    servers.remove("a", 2.0)
    servers.put(entry(sequence=2, is_draining=True), 4.0)
    assert servers.by_id["a"].leaving_since == 1.0
    servers.remove("a", 5.0)
    servers.put(entry(sequence=3), 6.0)
    assert servers.by_id["a"].leaving_since == 1.0
    servers.put(entry(incarnation=2), 7.0)
    assert servers.by_id["a"].leaving_since is None


def test_departure_of_an_earlier_incarnation_is_ignored() -> None:
    servers = directory.Directory()
    servers.put(entry(incarnation=2), 1.0)
    assert not servers.mark_leaving(("a", 1), 1.5)
    assert servers.by_id["a"].leaving_since is None
    assert servers.mark_leaving(("a", 2), 1.5)
    assert not servers.mark_leaving(("a", 2), 1.7)
    assert servers.by_id["a"].leaving_since == 1.5


def test_rate_limit_lasts_until_it_is_lifted_or_the_server_restarts() -> None:
    servers = directory.Directory()
    servers.put(entry(), 0.0)
    assert servers.set_rate_limit(("a", 1), 2.5, 1.0)
    servers.put(entry(sequence=2), 2.0)
    assert servers.by_id["a"].rate_limit == 2.5
    # A response that another host received earlier arrives late.
    assert not servers.set_rate_limit(("a", 1), None, 0.5)
    assert servers.by_id["a"].rate_limit == 2.5
    assert servers.set_rate_limit(("a", 1), None, 3.0)
    assert servers.by_id["a"].rate_limit is None
    servers.set_rate_limit(("a", 1), 4.0, 4.0)
    servers.put(entry(incarnation=2), 5.0)
    assert servers.by_id["a"].rate_limit is None


def test_changes_after_a_version_are_the_newest_ones() -> None:
    """Guards against a change of a server that hosts never get."""
    servers = directory.Directory()
    for name in "abc":
        servers.put(entry(name), 0.0)
    version = servers.version
    servers.mark_leaving(("a", 1), 1.0)
    assert [one.entry.id for one in servers.changed_after(version)] == ["a"]
    servers.mark_leaving(("c", 1), 2.0)
    assert {one.entry.id for one in servers.changed_after(version)} == {
        "a",
        "c",
    }
    assert len(servers.changed_after(0)) == 3
