"""Text format of counters, gauges and histograms."""

from __future__ import annotations

from agatestile.observability import counters


def test_series_are_rendered_with_labels() -> None:
    """Guards against text that monitoring systems cannot parse."""
    registry = counters.Registry()
    registry.count("requests_total", service='a"b', result="ANSWERED")
    registry.count("requests_total", service='a"b', result="ANSWERED")
    registry.gauge("ready", lambda: 1.0)
    registry.time("request_seconds", 0.03, service="a")
    registry.time("request_seconds", 99.0, service="a")
    lines = registry.render().decode().splitlines()
    assert (
        'agatestile_requests_total{service="a\\"b",result="ANSWERED"} 2'
        in lines
    )
    assert "agatestile_ready 1" in lines
    bucket = 'agatestile_request_seconds_bucket{service="a",le='
    assert f'{bucket}"0.025"}} 0' in lines
    assert f'{bucket}"0.05"}} 1' in lines
    assert f'{bucket}"+Inf"}} 2' in lines
    assert 'agatestile_request_seconds_count{service="a"} 2' in lines
