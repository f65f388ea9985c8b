"""Counts the requests of an ASGI application."""

from __future__ import annotations

import typing

import anyio

from agatestile.observability import metrics as metric_names
from agatestile.results import codes

if typing.TYPE_CHECKING:
    import collections.abc

NO_ANSWER = "NO_ANSWER"
CODE_HEADER = b"x-agatestile-code"

_NAMES_BY_VALUE = {b"%d" % code: code.name for code in codes.ResultCode}

Message = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Message]]
Send = typing.Callable[[Message], typing.Awaitable[None]]


class CountedApplication:
    """Passes requests on to another application and counts them.

    Parameters
    ----------
    application : callable
        The ASGI application.
    metrics : metrics.Metrics
        Takes the values.
    role : str
        "entry" or "gate".
    """

    def __init__(
        self,
        application: collections.abc.Callable[
            [Message, Receive, Send], typing.Awaitable[None]
        ],
        metrics: metric_names.Metrics,
        role: str,
    ) -> None:
        self._application = application
        self._metrics = metrics
        self._role = role
        self._in_flight = 0

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        name = NO_ANSWER

        async def counted_send(message: Message) -> None:
            nonlocal name
            if message["type"] == "http.response.start":
                name = _code_of(message["headers"])
            await send(message)

        started = anyio.current_time()
        self._metrics.count(metric_names.REQUESTS_RECEIVED, suffix=self._role)
        self._note_in_flight(1)
        try:
            await self._application(scope, receive, counted_send)
        finally:
            self._note_in_flight(-1)
            self._metrics.count(metric_names.REQUESTS_ENDED, suffix=name)
            self._metrics.timing(
                metric_names.REQUESTS_DURATION,
                anyio.current_time() - started,
                self._role,
            )

    def _note_in_flight(self, change: int) -> None:
        self._in_flight += change
        self._metrics.gauge(
            metric_names.REQUESTS_IN_FLIGHT, self._in_flight, self._role
        )


def _code_of(headers: list[tuple[bytes, bytes]]) -> str:
    for name, value in headers:
        if name == CODE_HEADER:
            return _NAMES_BY_VALUE.get(value, NO_ANSWER)
    return NO_ANSWER
