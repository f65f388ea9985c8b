"""Tests of the platform's names, formats and calls."""

from __future__ import annotations

import json
import pathlib
import re
import typing

import hypothesis
from hypothesis import strategies
import pytest

from agatestile.balancing import load
from agatestile.catalog import configuration
from agatestile.node import settings as node_settings
from agatestile.platform import headers
from agatestile.platform import manifest
from agatestile.platform import records
from agatestile.platform import settings
from agatestile.platform import store
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.store import port
from agatestile.transport import messages

SOURCE = pathlib.Path(settings.__file__).parent.parent
PLATFORM_NAMES = re.compile(
    r"X-Upstream-|X-Target-Instance|X-Shard-Key|X-Not-Executed|X-Handover"
    r"|X-Deadline-Ms|X-Request-Id|X-Warmup-Ms|log-append|log-read|log-newest"
    r"|log-join|keyed\.\w|warmupLeftMs|trafficSplit|edgeAddr"
    r"|pathPrefix|AGATESTILE_BOOT|Server-Leaving|Server-Limit|linkMbps"
    r"|memoryMb|maxFds|X-Api-Key|X-Tenant-Id|strictRevoke|revokeMs",
    re.IGNORECASE,
)

SETTINGS = """
nodeName = "edge-1"
ip = "10.1.0.1"
zone = "anna"
bounds = {bounds}
[listen]
edgeAddr = "10.1.0.1:1"
ready = "10.1.0.1:2"
control = "10.1.0.1:3"
[platform]
address = "10.2.0.1:4"
"""

HEARTBEAT = {
    "service": "prices",
    "address": "10.0.0.1:80",
    "zone": "anna",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 1500,
    "seq": 4,
    "born": 7,
}

MANIFEST = {
    "version": "r12",
    "limits": {
        "maxHeaderBytes": 100,
        "maxBodyBytes": 200,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "listeners": [
        {
            "host": "a.example",
            "rules": [
                {
                    "name": "r",
                    "routeType": "unsafe",
                    "targetLatencyMs": 500,
                    "priority": 1,
                    "match": {"pathPrefix": "/x/"},
                    "action": {
                        "trafficSplit": [
                            {"service": "prices", "weight": 90},
                            {"service": "files", "weight": 10},
                        ],
                        "timeoutMs": 1200,
                        "maxAttempts": 2,
                    },
                }
            ],
        }
    ],
    "clusters": [
        {
            "name": "prices",
            "healthPath": "/healthz",
            "maxConnections": 130,
            "warmupS": 3.0,
            "warmupPerS": 5.0,
            "sharded": True,
        }
    ],
}


def test_platform_names_occur_only_in_the_adapter() -> None:
    found = [
        path.relative_to(SOURCE).as_posix()
        for path in SOURCE.rglob("*.py")
        if path.parent.name != "platform"
        # The product's own interface uses some of the same header names.
        and "gateway" not in path.parts
        and "ownership" not in path.parts
        and PLATFORM_NAMES.search(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_heartbeat_is_decoded() -> None:
    entry = records.decode_server("a", json.dumps(HEARTBEAT).encode())
    assert not isinstance(entry, str)
    assert entry.id == "a"
    assert entry.address == ("10.0.0.1", 80)
    assert entry.failure_domain == "anna"
    assert entry.incarnation == 7
    assert entry.warmup_left == 1.5
    assert not entry.is_draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"address": "nowhere"},
        {"slots": "two"},
        {"seq": None},
        {"zone": 5},
        {"born": 1.5},
        {"service": ""},
    ],
)
def test_invalid_heartbeat_is_rejected(change: dict[str, object]) -> None:
    value = json.dumps({**HEARTBEAT, **change}).encode()
    assert isinstance(records.decode_server("a", value), str)


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_decode_to_a_value_or_a_reason(value: bytes) -> None:
    records.decode_server("a", value)
    manifest.decode_configuration(value)


def test_configuration_is_decoded() -> None:
    value = json.dumps(MANIFEST).encode()
    decoded = manifest.decode_configuration(value)
    assert not isinstance(decoded, str)
    assert decoded.version == 12
    route = decoded.find_route("a.example", "/x/1")
    assert route is not None
    assert route.kind is configuration.RouteKind.UNSAFE
    assert route.timeout == 1.2
    assert [target.weight for target in route.targets] == [90, 10]
    assert decoded.services_by_name["prices"].is_partitioned
    assert decoded.limits.idle_timeout == 15.0


def test_evacuations_are_recognised() -> None:
    record_format = records.PlatformRecordFormat()
    assert record_format.evacuated_domain("evacuate/anna") == "anna"
    assert record_format.evacuated_domain("config") is None
    assert record_format.is_configuration("config")


def test_caller_and_server_headers_are_translated() -> None:
    header_format = headers.PlatformHeaders()
    facts = header_format.read_request(
        [
            (b"x-request-id", b"id"),
            (b"x-deadline-ms", b"1500"),
            (b"x-shard-key", b"77"),
            (b"x-api-key", b"k1"),
            (b"x-api-key", b""),
        ]
    )
    assert facts == (b"id", 1.5, 77, (b"k1", b""))
    assert header_format.server_headers("s", 0.25) == [
        (b"x-deadline-ms", b"250"),
        (b"x-target-instance", b"s"),
    ]


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,1,8", load.LoadReport(3, 1, 8, 1.0)),
        (b"3,1,8,250", load.LoadReport(3, 1, 8, 2.5)),
        (b"3,1", None),
        (b"x,y,z", None),
    ],
)
def test_load_report_is_parsed(
    value: bytes, expected: load.LoadReport | None
) -> None:
    response = messages.Response(200, [(b"x-upstream-load", value)], b"")
    assert headers.PlatformHeaders().read_response(response).report == expected


def test_responses_without_execution_are_recognised() -> None:
    header_format = headers.PlatformHeaders()
    not_executed = messages.Response(503, [(b"x-not-executed", b"1")], b"")
    assert header_format.read_response(not_executed).did_not_run
    misdirected = messages.Response(421, [], b"")
    assert header_format.read_response(misdirected).is_misdirected
    failed = messages.Response(503, [(b"x-upstream-signature", b"s")], b"")
    assert not header_format.read_response(failed).did_not_run


def test_settings_are_decoded() -> None:
    loaded = settings.decode(
        """
nodeName = "edge-1"
ip = "10.1.0.1"
zone = "anna"
seeds = ["10.1.0.2:7"]
bounds = ["drainMs=2500", "retryBudgetRatio=0.2", "odd", "graceS=6"]
new = 5
[listen]
edgeAddr = "10.1.0.1:1"
ready = "10.1.0.1:2"
control = "10.1.0.1:3"
[platform]
address = "10.2.0.1:4"
[limits]
cores = 2
linkMbps = 200.0
memoryMb = 430
maxFds = 4100
""",
        "file",
    )
    assert isinstance(loaded, node_settings.NodeSettings)
    assert loaded.store == ("10.2.0.1", 4)
    assert loaded.bounds.drain == 2.5
    assert loaded.bounds.grace == 6.0
    assert loaded.link_rate == 25e6
    assert loaded.memory == 430_000_000
    assert loaded.descriptors == 4100


@pytest.mark.parametrize(
    ("bounds", "expected"),
    [
        ("[]", (False, 5.0)),
        ('["strictRevoke=true", "revokeMs=4000"]', (True, 4.0)),
        ('"strictRevoke=false,revokeMs=7500"', (False, 7.5)),
    ],
)
def test_bounds_on_revocations_are_read(
    bounds: str, expected: tuple[bool, float]
) -> None:
    """Guards against a host that accepts revoked keys against its settings."""
    loaded = settings.decode(SETTINGS.format(bounds=bounds), "file")
    assert isinstance(loaded, node_settings.NodeSettings)
    assert (loaded.bounds.strict_revoke, loaded.bounds.revoke) == expected


@pytest.mark.parametrize("value", ["", "yes", "True", "1"])
def test_bound_that_is_neither_true_nor_false_is_refused(value: str) -> None:
    """Guards against a misspelt bound that counts as false."""
    text = SETTINGS.format(bounds=f'["strictRevoke={value}"]')
    refusal = settings.decode(text, "file")
    assert isinstance(refusal, outcomes.Refusal)
    assert refusal.code is codes.ResultCode.SETTINGS_WRONG_TYPE


def test_identity_headers_are_read_and_written() -> None:
    """Guards against a second API key that is silently ignored."""
    header_format = headers.PlatformHeaders()
    assert header_format.read_request([]).api_keys == ()
    assert header_format.is_identity(b"x-api-key")
    assert header_format.is_identity(b"x-tenant-id")
    assert not header_format.is_identity(b"x-shard-key")
    assert header_format.tenant_headers("shop") == [(b"x-tenant-id", b"shop")]


@pytest.mark.parametrize(
    "text", ["nodeName = 5", "= broken", "", 'nodeName = "a"\nip = "b"']
)
def test_invalid_settings_are_refused_with_their_path(text: str) -> None:
    refusal = settings.decode(text, "the-file")
    assert isinstance(refusal, outcomes.Refusal)
    assert "the-file" in refusal.reason


class _Pool:
    """Returns the results given by the test, one per call."""

    def __init__(self, *results: messages.Response | messages.Failure) -> None:
        self.results = list(results)
        self.requests: list[messages.Request] = []

    async def call(
        self,
        address: tuple[str, int],
        request: messages.Request,
        timeout: float,
        **options: object,
    ) -> messages.Response | messages.Failure:
        self.requests.append(request)
        return self.results.pop(0)


def _store(
    *results: messages.Response | messages.Failure,
) -> store.PlatformStore:
    pool: typing.Any = _Pool(*results)
    return store.PlatformStore(pool, ("10.2.0.1", 4))


@pytest.mark.anyio
async def test_listing_is_read_page_by_page() -> None:
    first = b'{"items":[{"key":"a","value":"eA==","offset":0}],"hasMore":true'
    second = b'{"items":[{"key":"b","value":"eQ==","offset":7}],"end":9}'
    page = await _store(
        messages.Response(200, [], first + b',"end":6}'),
        messages.Response(200, [], second),
    ).read_newest("x")
    # The end of the first page: later changes are read again.
    assert page == port.Page(
        [port.Record("a", b"x"), port.Record("b", b"y")], 6
    )


@pytest.mark.anyio
async def test_records_of_a_read_are_split() -> None:
    body = (7).to_bytes(8, "big") + (0).to_bytes(8, "big")
    for content in (b"\x01ax", b"\x01b"):
        body += len(content).to_bytes(4, "big") + content
    page = await _store(messages.Response(200, [], body)).read("x", 5, 0)
    assert page == port.Page(
        [port.Record("a", b"x"), port.Record("b", b"")], 7
    )


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("result", "code"),
    [
        (messages.Response(412, [], b""), codes.ResultCode.RECORD_STALE),
        (messages.Response(503, [], b""), codes.ResultCode.LOG_UNAVAILABLE),
        (messages.Response(429, [], b""), codes.ResultCode.LOG_UNAVAILABLE),
        (
            messages.Response(200, [], b"x"),
            codes.ResultCode.LOG_OUTCOME_UNKNOWN,
        ),
        (
            messages.Failure(messages.FailureKind.UNKNOWN, "lost"),
            codes.ResultCode.LOG_OUTCOME_UNKNOWN,
        ),
        (
            messages.Failure(messages.FailureKind.NOT_SENT, "refused"),
            codes.ResultCode.LOG_UNAVAILABLE,
        ),
    ],
)
async def test_failed_append_gives_its_result_code(
    result: messages.Response | messages.Failure, code: codes.ResultCode
) -> None:
    refusal = await _store(result).append("x", [], 0)
    assert isinstance(refusal, outcomes.Refusal)
    assert refusal.code == code


_END = b'{"end":9}'


def _of_era(
    era: bytes, body: bytes = b'{"items":[],"end":9}', status: int = 200
) -> messages.Response:
    return messages.Response(status, [(b"store-era", era)], body)


@pytest.mark.anyio
async def test_responses_name_the_era_of_the_store() -> None:
    """Guards against a restored store that goes unnoticed."""
    joined = b'{"generation":4,"parts":[["x",0,0]]}'
    read = (9).to_bytes(8, "big") + bytes(8)
    log = _store(
        _of_era(b"3"),
        _of_era(b"3", read),
        _of_era(b"4", joined),
        _of_era(b"5", _END),
        _of_era(b"6", b"", 412),
        _of_era(b"7", b"", 503),
    )
    listing = await log.read_newest("x")
    page = await log.read("x", 9, 0.0)
    membership = await log.join("x", "host-1", 1.0, 0)
    assert isinstance(listing, port.Page) and listing.era == 3
    assert isinstance(page, port.Page) and page.era == 3
    assert isinstance(membership, port.Membership) and membership.era == 4
    assert await log.append("x", [], 8) == 9
    assert log.era == 5
    assert isinstance(await log.append("x", [], 9), outcomes.Refusal)
    assert log.era == 6
    assert isinstance(await log.read_newest("x"), outcomes.Refusal)
    assert log.era == 7


@pytest.mark.anyio
async def test_responses_of_an_earlier_era_are_refused() -> None:
    """Guards against a late response that brings lost records back."""
    log = _store(_of_era(b"4"), _of_era(b"3"), _of_era(b"3", _END))
    await log.read_newest("x")
    late_page = await log.read_newest("x")
    late_append = await log.append("x", [], 8)
    assert isinstance(late_page, outcomes.Refusal)
    assert late_page.code == codes.ResultCode.LOG_UNAVAILABLE
    assert isinstance(late_append, outcomes.Refusal)
    assert late_append.code == codes.ResultCode.LOG_OUTCOME_UNKNOWN
    assert log.era == 4


@pytest.mark.anyio
async def test_listing_that_spans_two_eras_is_refused() -> None:
    """Guards against a listing that mixes two copies of a topic."""
    item = b'{"items":[{"key":"a","value":"eA==","offset":0}],"hasMore":true'
    log = _store(_of_era(b"3", item + b',"end":6}'), _of_era(b"4"))
    refusal = await log.read_newest("x")
    assert isinstance(refusal, outcomes.Refusal)
    assert refusal.code == codes.ResultCode.LOG_UNAVAILABLE


@pytest.mark.anyio
@pytest.mark.parametrize("value", [b"", b"-1", b"x", b"1.5", b"9" * 30])
async def test_unreadable_era_changes_nothing(value: bytes) -> None:
    """Guards against an error or a huge era from a damaged header."""
    log = _store(_of_era(value))
    page = await log.read_newest("x")
    assert isinstance(page, port.Page)
    assert (page.era, log.era) == (0, 0)
