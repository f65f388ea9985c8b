"""Loading checkpoints, and when they are due."""

from __future__ import annotations

import pytest

from agatestile.state import checkpoint
from agatestile.state import ranges
from agatestile.state import records
from tests.state import helpers


def test_state_loaded_from_a_checkpoint_behaves_like_the_original() -> None:
    """Guards against a host that decides differently after loading one.

    This would happen if open intents or refused requests were missing.
    """
    state = helpers.state_with_leaders()
    half = ranges.END // 2
    first = helpers.change("prices", 5, half, (3,), "p2", "p1")
    state.apply(5, helpers.intent("warszawa-a", first))
    state.apply(6, records.DomainChange("d", "a", "radom", "out", -1))
    refused = records.TableChange("x", "a", 3, ())
    state.apply(7, refused)
    copy = checkpoint.load(checkpoint.dump(state))
    assert copy == state
    second = helpers.change("prices", 5, half, (5,), "p2", "p1")
    for record in (refused, helpers.assign("warszawa-a", second)):
        offset = state.offset + 1
        assert state.apply(offset, record) == copy.apply(offset, record)
        assert copy == state
    assert not copy.intents.by_offset


def test_damaged_checkpoint_is_not_loaded() -> None:
    """Guards against a state taken from a truncated or altered checkpoint."""
    body = checkpoint.dump(helpers.state_with_leaders())
    for damaged in (b"", body[:-9], body[:40] + b"\0" + body[41:]):
        with pytest.raises(ValueError):
            checkpoint.load(damaged)


@pytest.mark.parametrize(
    ("rank", "offset", "last", "age", "due"),
    [
        (0, 999, -1, 0.0, True),
        (0, 998, -1, 0.0, False),
        (1, 1999, 0, 0.0, False),
        (1, 2000, 0, 0.0, True),
        (2, 3000, 0, 0.0, True),
        (7, 3000, 0, 0.0, True),
        (0, 5, 5, 900.0, True),
        (0, 5, 5, 899.0, False),
        (2, 5, 5, 2700.0, True),
        (0, -1, -1, 9000.0, False),
        (0, 3, 5, 9000.0, False),
    ],
)
def test_checkpoints_are_due_by_records_and_by_age(
    rank: int, offset: int, last: int, age: float, due: bool
) -> None:
    """Guards against a checkpoint that expires before the next is written."""
    policy = checkpoint.Policy(retention=3600.0)
    assert policy.is_due(rank, offset, last, age) is due
