"""Tests status, explanations and changes."""

from __future__ import annotations

import pytest

from agatestile.admin import operations
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import records
from tests.admin import support

pytestmark = pytest.mark.anyio
Code = codes.ResultCode


async def test_status_includes_own_gates_and_unreachable_hosts() -> None:
    """Guards against a status that omits hosts that do not respond."""
    harness = support.OperationsHarness().with_table()
    harness.assign()
    harness.views.gates["price-01"] = support.Gate("entry-1", "127.0.0.1:1")
    harness.views.gates["price-02"] = support.Gate("entry-2", "127.0.0.1:2")
    harness.peers.answers["entry-9"] = support.UNREACHABLE_PEER
    harness.state.checks.check("one owner", False, "two")
    hosts = (await harness.operations.status())["hosts"]
    own = hosts["entry-1"]
    assert own["gated_ranges"] == {"price-01": 1}
    assert own["leaders"] == {"radom": "entry-2"}
    assert own["limits"] == {"price-01": {"slots": 2}}
    assert own["invariant_violations"] == {"one owner": 1}
    assert own["table_version"] == 0
    assert "ConnectError" in hosts["entry-9"]["unreachable"]


async def test_explain_is_refused_without_state_or_service() -> None:
    """Guards against an explanation that is not based on any state."""
    early = support.OperationsHarness().operations.explain("prices", "k")
    assert isinstance(early, outcomes.Refusal)
    assert early.code is Code.NOT_READY
    late = (
        support.OperationsHarness()
        .with_table()
        .operations.explain("price", "k")
    )
    assert isinstance(late, outcomes.Refusal)
    assert late.code is Code.UNKNOWN_SERVICE


async def test_explain_names_owner_gate_leader_and_reason() -> None:
    """Guards against an owner, gate or leader that lags behind the state."""
    harness = support.OperationsHarness().with_table()
    before = harness.operations.explain("prices", "k")
    assert not isinstance(before, outcomes.Refusal)
    assert (before["owner"], before["why"]) == ("", "unassigned")
    harness.assign()
    harness.views.gates["price-01"] = support.Gate("entry-3", "127.0.0.1:3")
    found = harness.operations.explain("prices", "k")
    assert not isinstance(found, outcomes.Refusal)
    assert found["owner"] == "price-01"
    assert found["since"] == 2
    assert found["successors"] == ["price-02"]
    assert found["gate"] == "entry-3"
    assert found["leader"] == "entry-2"
    assert found["leader_term"] == "1.2.entry-2#ab"
    assert found["why"] == "assigned"


@pytest.mark.parametrize(
    ("version", "owner", "why"),
    [
        (2, "price-02", "stepped after loss of price-01"),
        (1, "price-01", "assigned"),
    ],
)
async def test_explain_ignores_a_step_of_an_earlier_assignment(
    version: int, owner: str, why: str
) -> None:
    """Guards against naming the owner of a step that the log superseded."""
    harness = support.OperationsHarness().with_table()
    harness.assign()
    harness.views.step = support.Step(version, 1, "price-02")
    found = harness.operations.explain("prices", "k")
    assert not isinstance(found, outcomes.Refusal)
    assert (found["owner"], found["why"]) == (owner, why)


async def test_explain_reports_a_range_that_is_moving() -> None:
    """Guards against a planned move that operators cannot see."""
    harness = support.OperationsHarness().with_table()
    harness.assign()
    (owned_range,) = harness.state.ranges_by_service["prices"]
    change = records.RangeChange(
        "prices",
        owned_range.start,
        owned_range.end,
        (owned_range.version,),
        "price-02",
    )
    term = support.LEADER._replace(epoch=0)
    harness.apply(records.Intent("d", "radom", term, (change,)))
    found = harness.operations.explain("prices", "k")
    assert not isinstance(found, outcomes.Refusal)
    assert found["why"] == "moving since offset 3"


async def test_accepted_table_names_the_hosts_without_it() -> None:
    """Guards against a change reported as in force on hosts without it."""
    harness = support.OperationsHarness()
    harness.peers.answers = {
        "entry-2": support.peer_status("entry-2", 5),
        "entry-3": support.peer_status("entry-3", -3),
        "entry-4": support.UNREACHABLE_PEER,
    }
    answer = await harness.operations.apply_table(
        support.TABLE_CSV, "-1", "ana"
    )
    assert isinstance(answer, operations.Confirmations)
    assert answer.offset == 0
    assert answer.in_force == ["entry-1", "entry-2"]
    assert answer.pending == ["entry-3"]
    assert list(answer.unreachable) == ["entry-4"]


@pytest.mark.parametrize(
    ("table_csv", "base", "code"),
    [
        (support.TABLE_CSV, "-1", Code.TABLE_CONFLICT),
        (support.TABLE_CSV, "7", Code.TABLE_CONFLICT),
        (support.TABLE_CSV, "x", Code.TABLE_INVALID),
        (support.TABLE_CSV, "9" * 30, Code.TABLE_INVALID),
        ("", "0", Code.TABLE_INVALID),
        (support.TABLE_CSV.replace("price-02", "price-01"), "0", None),
    ],
)
async def test_bad_change_is_refused_and_the_table_stays(
    table_csv: str, base: str, code: codes.ResultCode | None
) -> None:
    """Guards against lost updates and invalid tables.

    An update is lost if a change made from an older version is accepted.
    """
    harness = support.OperationsHarness().with_table()
    answer = await harness.operations.apply_table(table_csv, base, "ana")
    assert isinstance(answer, outcomes.Refusal)
    assert answer.code is (code or Code.TABLE_INVALID)
    assert harness.state.table.version == 0


async def test_base_current_replaces_the_version_in_force() -> None:
    """Guards against a conflict where the operator asked for none."""
    harness = support.OperationsHarness().with_table()
    answer = await harness.operations.apply_table(
        support.TABLE_CSV, "current", "ana"
    )
    assert isinstance(answer, operations.Confirmations)
    assert harness.state.table.version == answer.offset == 2


async def test_domain_and_host_change_state_repeatedly() -> None:
    """Guards against refused changes because of an outdated base.

    The base must be the last change of the same domain or host.
    """
    harness = support.OperationsHarness().with_table()
    for state in ("out", "in", "out"):
        answer = await harness.operations.set_domain("radom", state, "ana")
        assert isinstance(answer, operations.Confirmations)
    assert harness.state.domain("radom").state == "out"
    assert harness.operations.ready()
    for state in ("leaving", "active", "leaving"):
        answer = await harness.operations.set_host("entry-1", state, "ana")
        assert isinstance(answer, operations.Confirmations)
    assert not harness.operations.ready()


async def test_stopping_host_is_not_ready() -> None:
    """Guards against new requests for a daemon that received SIGTERM."""
    harness = support.OperationsHarness().with_table()
    harness.operations.mark_leaving()
    assert not harness.operations.ready()
    assert harness.operations.host_status()["state"] == "leaving"


async def test_unknown_names_are_refused() -> None:
    """Guards against a misspelt name that is accepted as a change."""
    harness = support.OperationsHarness().with_table()
    for answer in (
        await harness.operations.set_domain("random", "out", "ana"),
        await harness.operations.set_host("entry-11", "leaving", "ana"),
    ):
        assert isinstance(answer, outcomes.Refusal)
        assert answer.code is Code.NAME_UNKNOWN
