"""Request metrics of an ASGI application."""

from __future__ import annotations

import typing

import anyio

from agatestile.observability import metrics as metric_names
from agatestile.results import codes

NO_ANSWER = "NO_ANSWER"
CODE_HEADER = b"x-agatestile-code"

_CODE_NAMES_BY_VALUE = {b"%d" % code: code.name for code in codes.ResultCode}

Message = typing.MutableMapping[str, typing.Any]
Receive = typing.Callable[[], typing.Awaitable[Message]]
Send = typing.Callable[[Message], typing.Awaitable[None]]


Application = typing.Callable[[Message, Receive, Send], typing.Awaitable[None]]


def wrap_application(
    application: Application, metrics: metric_names.Metrics, role: str
) -> Application:
    """Wrap an application to record request metrics, if metrics are sent."""
    if isinstance(metrics, metric_names.NoMetrics):
        return application
    return RequestMetricsMiddleware(application, metrics, role)


class RequestMetricsMiddleware:
    """ASGI middleware that counts and times requests.

    Parameters
    ----------
    application : callable
        The wrapped ASGI application.
    metrics : metrics.Metrics
        Receives the values.
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
        """Pass one request on and record its metrics."""
        code_name = NO_ANSWER

        async def recording_send(message: Message) -> None:
            nonlocal code_name
            if message["type"] == "http.response.start":
                code_name = _code_name(message["headers"])
            await send(message)

        started = anyio.current_time()
        self._metrics.count(metric_names.REQUESTS_RECEIVED, suffix=self._role)
        try:
            await self._application(scope, receive, recording_send)
        finally:
            self._metrics.count(metric_names.REQUESTS_ENDED, suffix=code_name)
            self._metrics.timing(
                metric_names.REQUESTS_DURATION,
                anyio.current_time() - started,
                self._role,
            )


def _code_name(headers: list[tuple[bytes, bytes]]) -> str:
    for name, value in headers:
        if name == CODE_HEADER:
            return _CODE_NAMES_BY_VALUE.get(value, NO_ANSWER)
    return NO_ANSWER
