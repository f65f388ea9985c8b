"""Counts of requests."""

from __future__ import annotations

import pytest

from agatestile.observability import metrics
from agatestile.observability import requests
from tests.observability import recorder


async def _receive() -> requests.Message:
    return {"type": "http.disconnect"}


async def _send(message: requests.Message) -> None:
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
        scope: requests.Message,
        receive: requests.Receive,
        send: requests.Send,
    ) -> None:
        if headers is None:
            raise ConnectionError
        await send({"type": "http.response.start", "headers": headers})
        await send({"type": "http.response.body"})

    values = recorder.Recorder()
    counted = requests.CountedApplication(application, values, "entry")
    try:
        await counted({"type": "http"}, _receive, _send)
    except ConnectionError:
        assert headers is None
    assert values.counts == {
        (metrics.REQUESTS_RECEIVED, "entry"): 1,
        (metrics.REQUESTS_ENDED, name): 1,
    }
    assert values.timings == [(metrics.REQUESTS_DURATION, "entry")]
