"""Status of a host as metrics."""

from __future__ import annotations

import pytest

from agatestile.observability import metrics
from agatestile.observability import reporter
from tests.admin import scenes
from tests.observability import recorder


@pytest.mark.anyio
async def test_totals_are_sent_as_differences() -> None:
    """Guards against violations that are counted again each time."""
    scene = scenes.Scene().with_table()
    scene.assign()
    scene.views.gates["price-01"] = scenes.Gate("entry-1", "127.0.0.1:1")
    values = recorder.Recorder()
    dropped = 3
    reports = reporter.Reporter(
        values, scene.operations.host_status, lambda: dropped
    )
    reports.report()
    assert values.counts == {(metrics.LOGS_DROPPED, ""): 3}
    scene.state.checks.check("one owner", False, "two")
    dropped = 5
    reports.report()
    reports.report()
    assert values.counts == {
        (metrics.LOGS_DROPPED, ""): 5,
        (metrics.INVARIANTS_BROKEN, "one owner"): 1,
    }
    assert values.gauges[metrics.RANGES_GATED, "price-01"] == 1
    assert values.gauges[metrics.GATES_HELD, ""] == 1
    assert values.gauges[metrics.DOMAINS_LED, ""] == 0
    assert values.gauges[metrics.STATE_TABLE_VERSION, ""] == 0
