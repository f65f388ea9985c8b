"""Tests of the routes of a configuration."""

from __future__ import annotations

import pytest

from agatestile.catalog import configuration

KIND = configuration.RouteKind.SAFE


def _route(name: str) -> configuration.Route:
    target = configuration.Target("prices", 1.0)
    return configuration.Route(name, KIND, (target,), 1.0, 0.4, 2, 0)


CURRENT = configuration.Configuration(
    1,
    {"a.example": {"/x/": _route("x"), "/x/y/": _route("xy")}},
    {},
    configuration.CallerLimits(),
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/x/1", "x"),
        ("a.example", "/x/y/1", "xy"),
        ("a.example", "/x/y", "x"),
        ("a.example", "/x", None),
        ("a.example", "/", None),
        ("b.example", "/x/1", None),
    ],
)
def test_longest_prefix_of_the_host_is_chosen(
    host: str, path: str, expected: str | None
) -> None:
    """Guards against routes chosen by a shorter or partial path segment."""
    route = CURRENT.find_route(host, path)
    assert (None if route is None else route.name) == expected
