"""Interprets statecharts.

A step takes about 130 microseconds, so only rare events are sent to charts.
"""

from __future__ import annotations

import functools
import importlib.resources

from sismic import interpreter
from sismic import io
from sismic import model


@functools.cache
def load(name: str) -> model.Statechart:
    """Read the statechart with a given name.

    Parameters
    ----------
    name : str
        Name of the statechart's file, without its suffix.

    Raises
    ------
    FileNotFoundError
        If there is no such statechart.
    sismic.exceptions.StatechartError
        If the file is not a valid statechart.
    """
    source = importlib.resources.files("agatestile.charts") / f"{name}.yaml"
    return io.import_from_yaml(source.read_text(encoding="utf-8"))


class StatechartRun:
    """One execution of a statechart without parallel states.

    Parameters
    ----------
    name : str
        Name of the statechart's file, without its suffix.

    Attributes
    ----------
    state : str
        Name of the current state.
    """

    def __init__(self, name: str) -> None:
        self._interpreter = interpreter.Interpreter(load(name))
        self._interpreter.execute()
        self.state = self._innermost_state()

    def send(self, event: str) -> bool:
        """Send an event to the statechart.

        Returns
        -------
        bool
            Whether the current state has a transition for the event. Without
            one, the state does not change.
        """
        self._interpreter.queue(event)
        step = self._interpreter.execute_once()
        self.state = self._innermost_state()
        return step is not None and bool(step.transitions)

    def _innermost_state(self) -> str:
        names: list[str] = self._interpreter.configuration
        return names[-1]
