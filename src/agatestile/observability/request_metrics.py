"""Counts the requests of an ASGI application."""

from __future__ import annotations

import typing

import anyio

from agatestile.observability import metrics as metric_names
from agatestile.results import codes

NO_ANSWER = "NO_ANSWER"
CODE_HEADER = b"x-agatestile-code"

_NAMES_BY_VALUE = {b"%d" % code: code.name for code in codes.ResultCode}

Message = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Message]]
Send = typing.Callable[[Message], typing.Awaitable[None]]


Application = typing.Callable[[Message, Receive, Send], typing.Awaitable[None]]


def wrap_application(
    application: Application, metrics: metric_names.Metrics, role: str
) -> Application:
    """Return an application that counts requests, if metrics are sent."""
    if isinstance(metrics, metric_names.NoMetrics):
        return application
    return RequestMetricsMiddleware(application, metrics, role)


class RequestMetricsMiddleware:
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
        application: Application,
        metrics: metric_names.Metrics,
        role: str,
    ) -> None:
        self._application = application
        self._metrics = metrics
        self._role = role

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
        try:
            await self._application(scope, receive, counted_send)
        finally:
            self._metrics.count(metric_names.REQUESTS_ENDED, suffix=name)
            self._metrics.timing(
                metric_names.REQUESTS_DURATION,
                anyio.current_time() - started,
                self._role,
            )


def _code_of(headers: list[tuple[bytes, bytes]]) -> str:
    for name, value in headers:
        if name == CODE_HEADER:
            return _NAMES_BY_VALUE.get(value, NO_ANSWER)
    return NO_ANSWER
