"""Counts of requests."""

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
async def test_request_is_counted_once_by_the_code_of_its_answer(
    headers: list[tuple[bytes, bytes]] | None, name: str
) -> None:
    """Guards against requests that vanish from the counts when they fail."""

    async def application(
        scope: request_metrics.Message,
        receive: request_metrics.Receive,
        send: request_metrics.Send,
    ) -> None:
        if headers is None:
            raise ConnectionError
        await send({"type": "http.response.start", "headers": headers})
        await send({"type": "http.response.body"})

    values = recorder.Recorder()
    counted = request_metrics.RequestMetricsMiddleware(
        application, values, "entry"
    )
    try:
        await counted({"type": "http"}, _receive, _send)
    except ConnectionError:
        assert headers is None
    assert values.counts == {
        (metrics.REQUESTS_RECEIVED, "entry"): 1,
        (metrics.REQUESTS_ENDED, name): 1,
    }
    assert values.timings == [(metrics.REQUESTS_DURATION, "entry")]
