"""Runs state charts.

A step takes about 130 microseconds, so charts take only rare events.
"""

from __future__ import annotations

import functools
import importlib.resources

from sismic import interpreter
from sismic import io
from sismic import model


@functools.cache
def load(name: str) -> model.Statechart:
    """Return the chart in the file of this name.

    Raises
    ------
    FileNotFoundError
        If there is no such chart.
    sismic.exceptions.StatechartError
        If the file is not a valid chart.
    """
    source = importlib.resources.files("agatestile.charts") / f"{name}.yaml"
    return io.import_from_yaml(source.read_text(encoding="utf-8"))


class StatechartRun:
    """One run of a chart without parallel states.

    Parameters
    ----------
    name : str
        Name of the chart's file, without its suffix.

    Attributes
    ----------
    state : str
        Name of the present state.
    """

    def __init__(self, name: str) -> None:
        self._interpreter = interpreter.Interpreter(load(name))
        self._interpreter.execute()
        self.state = self._innermost()

    def send(self, event: str) -> bool:
        """Take an event.

        Returns
        -------
        bool
            False if the present state has no transition for it; nothing
            changes then.
        """
        self._interpreter.queue(event)
        step = self._interpreter.execute_once()
        self.state = self._innermost()
        return step is not None and bool(step.transitions)

    def _innermost(self) -> str:
        names: list[str] = self._interpreter.configuration
        return names[-1]
