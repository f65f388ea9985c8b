"""Metrics sent over UDP."""

from __future__ import annotations

import socket

import anyio
import pytest

from agatestile.observability import metrics
from agatestile.settings import schema
from tests import documents


@pytest.fixture
def receiver() -> socket.socket:
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    receiver.settimeout(2)
    return receiver


def _settings(receiver: socket.socket) -> schema.Metrics:
    host, port = receiver.getsockname()
    return schema.Metrics(statsd=schema.Address(host, port))


@pytest.mark.anyio
async def test_values_are_summed_and_sent_together(
    receiver: socket.socket,
) -> None:
    """Guards against one datagram per request and lost final values."""
    sender = metrics.from_settings(_settings(receiver))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sender.run)
        await anyio.wait_all_tasks_blocked()
        sender.count(metrics.REQUESTS_RECEIVED)
        sender.count(metrics.REQUESTS_RECEIVED, 2)
        sender.count(metrics.REQUESTS_ENDED, suffix="NO_OWNER")
        sender.gauge(metrics.STATE_OFFSET, 41)
        sender.timing(metrics.REQUESTS_DURATION, 0.0025)
        tasks.cancel_scope.cancel()
    lines = receiver.recv(4096).decode().splitlines()
    receiver.close()
    assert set(lines) == {
        "agatestile.requests.received:3|c",
        "agatestile.requests.ended.NO_OWNER:1|c",
        "agatestile.state.offset:41|g",
        "agatestile.requests.duration:2.500000|ms",
    }


def test_many_timings_are_sampled(receiver: socket.socket) -> None:
    """Guards against memory and datagrams that grow with the load."""
    sender = metrics.StatsdMetrics(_settings(receiver))
    for number in range(5000):
        sender.timing(metrics.REQUESTS_DURATION, number / 1000)
    sender.send()
    receiver.settimeout(0.2)
    lines: list[str] = []
    with pytest.raises(TimeoutError):
        while True:
            lines += receiver.recv(4096).decode().splitlines()
    receiver.close()
    assert len(lines) == metrics.TIMINGS_PER_INTERVAL


def test_nothing_is_sent_without_an_address() -> None:
    """Guards against a daemon that requires a statsd server."""
    sender = metrics.from_settings(schema.Metrics())
    sender.count(metrics.REQUESTS_RECEIVED)
    assert isinstance(sender, metrics.NoMetrics)


def test_documentation_lists_each_metric() -> None:
    """Guards against documentation that differs from the metrics sent."""
    rows = documents.table_rows("metrics.md", "| name | kind |")
    assert rows == [
        [name, metric.kind, metric.unit, metric.suffix, metric.description]
        for name, metric in metrics.METRICS_BY_NAME.items()
    ]
