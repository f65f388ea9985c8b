"""Restarts the components of a host that fail unexpectedly."""

from __future__ import annotations

import traceback
import typing

import anyio

from agatestile.observability import events

if typing.TYPE_CHECKING:
    from agatestile.observability import counters

RESTART_DELAY_SECONDS = 0.5
"""Pause before a failed component is restarted."""


async def supervise(
    name: str,
    component: typing.Callable[[], typing.Awaitable[None]],
    registry: counters.Registry,
    on_failure: typing.Callable[[], None] | None = None,
) -> None:
    """Run a component and restart it whenever it fails.

    The other components still serve; exiting would abort their requests.

    Parameters
    ----------
    name : str
        Name of the component in the log.
    component : callable
        Runs until it is cancelled.
    registry : counters.Registry
        Counts the failures.
    on_failure : callable, optional
        Called after each failure.
    """
    while True:
        try:
            await component()
            return
        except Exception as error:
            registry.count("component_failures_total", component=name)
            events.emit(
                "error",
                part=name,
                reason=repr(error),
                trace=traceback.format_exc(limit=-4),
            )
            if on_failure is not None:
                on_failure()
        await anyio.sleep(RESTART_DELAY_SECONDS)
