"""Tests of reading the operator's configuration entry by entry."""

from __future__ import annotations

import copy
import json
import typing

import hypothesis
from hypothesis import strategies
import pytest

from agatestile.catalog import configuration
from agatestile.platform import manifest
from tests.platform import test_adapter

OTHER_LISTENER = {
    "host": "b.example",
    "rules": [
        {
            "name": "other",
            "routeType": "safe",
            "match": {"pathPrefix": "/y/"},
            "action": {"service": "files", "timeoutMs": 800},
        }
    ],
}

TENANTS = [
    {
        "name": "shop",
        "apiKeys": ["k1", "k2"],
        "priority": 1,
        "ratePerS": 2.5,
        "burst": 4,
    },
    {"name": "hall", "apiKeys": ["k3"]},
]

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=4,
)


def _manifest(**changes: object) -> dict[str, typing.Any]:
    fields: dict[str, typing.Any] = copy.deepcopy(test_adapter.MANIFEST)
    fields["listeners"].append(copy.deepcopy(OTHER_LISTENER))
    fields["clusters"].append({"name": "files"})
    fields["tenants"] = copy.deepcopy(TENANTS)
    return {**fields, **changes}


def _decode(fields: dict[str, typing.Any]) -> configuration.Configuration:
    decoded = manifest.decode_configuration(json.dumps(fields).encode())
    assert not isinstance(decoded, str)
    return decoded


def _rule(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    rule: dict[str, typing.Any] = fields["listeners"][0]["rules"][0]
    return rule


@pytest.mark.parametrize(
    ("name", "kind", "is_idempotent"),
    [
        ("safe", configuration.RouteKind.SAFE, True),
        ("download", configuration.RouteKind.DOWNLOAD, True),
        ("upload", configuration.RouteKind.UPLOAD, False),
        ("unsafe", configuration.RouteKind.UNSAFE, False),
        ("unknown", configuration.RouteKind.UNKNOWN, False),
        ("stream", configuration.RouteKind.UNKNOWN, False),
    ],
)
def test_unknown_route_type_is_served_without_repeats(
    name: str, kind: configuration.RouteKind, is_idempotent: bool
) -> None:
    """Guards against one unknown word that stops every route."""
    fields = _manifest()
    _rule(fields)["routeType"] = name
    decoded = _decode(fields)
    route = decoded.find_route("a.example", "/x/1")
    assert route is not None and not route.invalid_reason
    assert route.kind is kind
    assert route.kind.is_idempotent is is_idempotent
    is_known = kind is not configuration.RouteKind.UNKNOWN
    assert bool(decoded.problems) is not is_known


@pytest.mark.parametrize(
    "change",
    [
        {"action": {"service": "prices"}},
        {"action": {"service": "prices", "timeoutMs": -1}},
        {"action": {"service": "", "timeoutMs": 100}},
        {"action": {"timeoutMs": 100}},
        {
            "action": {
                "timeoutMs": 100,
                "trafficSplit": [{"service": "prices", "weight": -1}],
            }
        },
        {
            "action": {
                "timeoutMs": 100,
                "trafficSplit": [{"service": "prices", "weight": 0}],
            }
        },
        {"action": None},
        {"name": 5},
        {"routeType": ["safe"]},
        {"priority": "high"},
        {"public": "yes"},
        {"targetLatencyMs": -5},
    ],
)
def test_invalid_rule_keeps_its_place_and_the_others(
    change: dict[str, object],
) -> None:
    """Guards against a request that a shorter prefix takes instead."""
    fields = _manifest()
    _rule(fields).update(change)
    shorter = copy.deepcopy(OTHER_LISTENER["rules"][0])
    shorter["match"] = {"pathPrefix": "/"}
    fields["listeners"][0]["rules"].append(shorter)
    decoded = _decode(fields)
    route = decoded.find_route("a.example", "/x/1")
    assert route is not None and route.invalid_reason
    assert not route.kind.is_idempotent
    other = decoded.find_route("b.example", "/y/1")
    assert other is not None and not other.invalid_reason
    assert len(decoded.problems) == 1
    assert "listeners[0].rules[0]" in decoded.problems[0]


def test_invalid_service_is_named() -> None:
    """Guards against keys sent to any server of an unreadable service."""
    fields = _manifest()
    fields["clusters"][0]["sharded"] = "yes"
    decoded = _decode(fields)
    assert decoded.invalid_services == {"prices"}
    assert "prices" not in decoded.services_by_name
    assert "files" in decoded.services_by_name


def test_tenants_are_found_by_key() -> None:
    decoded = _decode(_manifest())
    assert decoded.tenants is not None
    shop = decoded.tenants.by_key[b"k2"]
    assert shop == ("shop", 1, 2.5, 4.0, "")
    assert decoded.tenants.by_key[b"k3"] == ("hall", None, 0.0, 0.0, "")
    assert decoded.tenants.is_complete


@pytest.mark.parametrize("value", [None, []])
def test_configuration_without_tenants_needs_no_keys(value: object) -> None:
    assert _decode(_manifest(tenants=value)).tenants is None


@pytest.mark.parametrize(
    ("change", "is_complete"),
    [
        ({"ratePerS": -1}, True),
        ({"burst": -0.5}, True),
        ({"priority": "high"}, True),
        ({"name": "shöp"}, True),
        ({"name": ""}, True),
        ({"name": 7}, False),
        ({"apiKeys": "k1"}, False),
    ],
)
def test_invalid_tenant_does_not_affect_others(
    change: dict[str, object], is_complete: bool
) -> None:
    """Guards against keys refused as unknown that may be known."""
    fields = _manifest()
    fields["tenants"][0].update(change)
    decoded = _decode(fields)
    assert decoded.tenants is not None
    assert decoded.tenants.by_key[b"k3"].name == "hall"
    assert decoded.tenants.is_complete is is_complete
    if is_complete:
        assert decoded.tenants.by_key[b"k1"].invalid_reason
    assert len(decoded.problems) == 1
    assert "k1" not in decoded.problems[0]


def test_key_of_two_tenants_belongs_to_neither() -> None:
    """Guards against a tenant that is charged for another one's requests."""
    fields = _manifest()
    fields["tenants"][1]["apiKeys"] = ["k1", "k3", "k3"]
    decoded = _decode(fields)
    assert decoded.tenants is not None
    assert decoded.tenants.ambiguous_keys == {b"k1"}
    assert b"k1" not in decoded.tenants.by_key
    assert decoded.tenants.by_key[b"k2"].name == "shop"
    assert decoded.tenants.by_key[b"k3"].name == "hall"
    assert "k1" not in decoded.problems[0]


@pytest.mark.parametrize(
    "change",
    [
        {"limits": {}},
        {"limits": 5},
        {"limits": {**test_adapter.MANIFEST["limits"], "maxBodyBytes": 0}},
    ],
)
def test_invalid_limits_are_replaced_by_the_defaults(
    change: dict[str, object],
) -> None:
    decoded = _decode(_manifest(**change))
    assert decoded.limits == configuration.CallerLimits()
    assert len(decoded.problems) == 1


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        b'{"version":"r1"}',
        b'{"version":1,"listeners":[],"clusters":[]}',
        b'{"version":"rx","listeners":[],"clusters":[]}',
        b'{"version":"r1","listeners":{},"clusters":[]}',
    ],
)
def test_broken_configuration_is_refused_as_a_whole(value: bytes) -> None:
    assert isinstance(manifest.decode_configuration(value), str)


def _places(node: object, path: tuple[object, ...] = ()) -> list[typing.Any]:
    """Return the paths of all values of the first listener and others."""
    found: list[typing.Any] = [path] if path else []
    children: typing.Iterable[tuple[object, object]] = ()
    if isinstance(node, dict):
        children = node.items()
    elif isinstance(node, list):
        children = enumerate(node)
    for name, child in children:
        found += _places(child, (*path, name))
    return found


MUTABLE_PLACES = [
    place
    for place in _places(_manifest())
    if place[0] in ("limits", "tenants", "clusters", "listeners")
    and len(place) > 1
    and place[:2] not in (("listeners", 1), ("clusters", 1), ("tenants", 1))
]


@hypothesis.given(
    place=strategies.sampled_from(MUTABLE_PLACES), value=JSON_VALUES
)
@hypothesis.settings(deadline=None, max_examples=300)
def test_change_of_one_entry_leaves_the_others(
    place: tuple[typing.Any, ...], value: object
) -> None:
    """Guards against any one value that stops other entries."""
    fields = _manifest()
    node: typing.Any = fields
    for name in place[:-1]:
        node = node[name]
    node[place[-1]] = value
    decoded = _decode(fields)
    untouched = _decode(_manifest())
    route = decoded.find_route("b.example", "/y/1")
    assert route == untouched.find_route("b.example", "/y/1")
    assert "files" in decoded.services_by_name
    if place[0] != "tenants":
        assert decoded.tenants == untouched.tenants
    elif decoded.tenants is not None and (
        b"k3" not in decoded.tenants.ambiguous_keys
    ):
        assert decoded.tenants.by_key[b"k3"].name == "hall"
