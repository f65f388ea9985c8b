"""Space-saving sketch compared with exact counts."""

from __future__ import annotations

import collections

from hypothesis import given
from hypothesis import strategies

from agatestile.placement import space_saving


@given(
    strategies.lists(strategies.integers(0, 30), max_size=300),
    strategies.integers(1, 12),
)
def test_estimates_bound_the_true_counts(
    items: list[int], capacity: int
) -> None:
    """Guards against a hot key that is lost or overestimated too much."""
    sketch = space_saving.SpaceSaving(capacity)
    for item in items:
        sketch.add(item)
    exact = collections.Counter(items)
    found = {estimate.item: estimate for estimate in sketch.top(capacity)}
    assert len(sketch) <= capacity
    for item, estimate in found.items():
        assert (
            estimate.weight - estimate.error <= exact[item] <= estimate.weight
        )
    for item, count in exact.items():
        assert item in found or count <= len(items) / capacity


def test_decay_lets_new_keys_replace_old_ones() -> None:
    """Guards against keys that stay on top after their load has ended."""
    sketch = space_saving.SpaceSaving(4)
    sketch.add(1, 1000.0)
    for _ in range(10):
        sketch.decay(0.5)
        sketch.add(2, 10.0)
    assert sketch.top(1)[0].item == 2
    for item in range(3, 9):
        sketch.add(item)
    assert {1, 2} - {estimate.item for estimate in sketch.top(4)} == {1}
