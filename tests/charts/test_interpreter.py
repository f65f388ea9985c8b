"""Tests of the statecharts and their interpreter."""

from __future__ import annotations

import pytest

from agatestile.charts import interpreter

CHARTS = ("lease", "server", "domain", "host")


@pytest.mark.parametrize("name", CHARTS)
def test_every_state_can_be_reached_and_left(name: str) -> None:
    """Guards against a state that cannot be entered or left."""
    chart = interpreter.load(name)
    states = set(chart.states) - {chart.root}
    targets = {transition.target for transition in chart.transitions}
    sources = {transition.source for transition in chart.transitions}
    assert sources == states
    assert states - targets <= {"unsettled"}


def test_event_without_a_transition_changes_nothing() -> None:
    """Guards against an event that is accepted in the wrong state."""
    chart = interpreter.StatechartRun("lease")
    assert not chart.send("majority")
    assert chart.state == "following"
    assert chart.send("silence")
    assert chart.send("majority")
    assert chart.state == "held"


def test_runs_of_one_chart_are_independent() -> None:
    """Guards against state shared through the cached statechart."""
    first, second = (
        interpreter.StatechartRun("host"),
        interpreter.StatechartRun("host"),
    )
    assert first.send("leave")
    assert (first.state, second.state) == ("leaving", "active")


def test_unknown_chart_raises_an_error() -> None:
    """Guards against a misspelt name that yields an empty statechart."""
    with pytest.raises(FileNotFoundError):
        interpreter.load("none")
