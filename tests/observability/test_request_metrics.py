"""Request metrics of an ASGI application."""

from __future__ import annotations

import pytest

from agatestile.observability import metrics
from agatestile.observability import request_metrics
from tests.observability import recorder


async def _receive() -> request_metrics.Message:
    return {"type": "http.disconnect"}


async def _send(message: request_metrics.Message) -> None:
    assert message["type"].startswith("http.response")


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("headers", "name"),
    [
        ([(b"x-agatestile-code", b"0")], "ANSWERED"),
        ([(b"a", b"b"), (b"x-agatestile-code", b"205")], "QUEUE_TIMEOUT"),
        ([(b"x-agatestile-code", b"77")], "NO_ANSWER"),
        (None, "NO_ANSWER"),
    ],
)
async def test_request_is_counted_once_under_its_result_code(
    headers: list[tuple[bytes, bytes]] | None, name: str
) -> None:
    """Guards against failed requests that are missing from the counts."""

    async def application(
        scope: request_metrics.Message,
        receive: request_metrics.Receive,
        send: request_metrics.Send,
    ) -> None:
        if headers is None:
            raise ConnectionError
        await send({"type": "http.response.start", "headers": headers})
        await send({"type": "http.response.body"})

    recorded = recorder.Recorder()
    middleware = request_metrics.RequestMetricsMiddleware(
        application, recorded, "entry"
    )
    try:
        await middleware({"type": "http"}, _receive, _send)
    except ConnectionError:
        assert headers is None
    assert recorded.counts == {
        (metrics.REQUESTS_RECEIVED, "entry"): 1,
        (metrics.REQUESTS_ENDED, name): 1,
    }
    assert recorded.timings == [(metrics.REQUESTS_DURATION, "entry")]
