"""Entries of service discovery."""

from __future__ import annotations

from agatestile.catalog import directory


def entry(
    name: str = "a", incarnation: int = 1, sequence: int = 1, **changes: object
) -> directory.ServerEntry:
    """Return the entry of a server."""
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
    known = directory.Directory()
    known.put(entry(sequence=5, is_draining=True), 0.0)
    assert not known.put(entry(sequence=4), 1.0)
    assert known.by_id["a"].leaving_since == 0.0


def test_draining_holds_until_the_server_starts_anew() -> None:
    known = directory.Directory()
    known.put(entry(sequence=5, is_draining=True), 0.0)
    known.put(entry(sequence=6), 1.0)
    assert known.by_id["a"].leaving_since == 0.0
    known.put(entry(incarnation=2, sequence=1), 2.0)
    assert known.by_id["a"].leaving_since is None


def test_removed_server_leaves_and_is_kept_for_its_keys() -> None:
    known = directory.Directory()
    known.put(entry(), 0.0)
    known.remove("a", 1.0)
    assert known.expire(1.0) == ["a"]
    assert known.by_id["a"].leaving_since == 1.0


def test_entries_lost_in_an_outage_get_time_to_return() -> None:
    """Guards against dropping servers whose entries lapsed unseen."""
    known = directory.Directory()
    known.put(entry(), 0.0)
    known.put(entry("b"), 0.0)
    known.on_outage_end(10.0)
    known.remove("a", 10.0)
    known.remove("b", 10.0)
    assert known.expire(11.0) == []
    known.put(entry(sequence=2), 11.5)
    assert known.expire(10.0 + directory.REAPPEARANCE_SECONDS) == ["b"]
    assert known.by_id["a"].leaving_since is None


def test_newest_server_of_an_address_is_known() -> None:
    """Pattern: an address is used again by another server."""
    known = directory.Directory()
    known.put(entry("a", 1), 0.0)
    known.put(entry("b", 2), 1.0)
    newest = known.newest_at(("127.0.0.1", 1))
    assert newest is not None and newest.id == "b"
