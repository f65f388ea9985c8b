"""Status, explanations and changes."""

from __future__ import annotations

import pytest

from agatestile.admin import operations
from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.state import records
from tests.admin import scenes

pytestmark = pytest.mark.anyio
Code = codes.ResultCode


async def test_status_covers_this_host_its_gates_and_lost_hosts() -> None:
    """Guards against a host that is missing from the status when lost."""
    scene = scenes.Scene().with_table()
    scene.assign()
    scene.views.gates["price-01"] = scenes.Gate("entry-1", "127.0.0.1:1")
    scene.views.gates["price-02"] = scenes.Gate("entry-2", "127.0.0.1:2")
    scene.peers.answers["entry-9"] = scenes.LOST
    scene.state.checks.check("one owner", False, "two")
    hosts = (await scene.operations.status())["hosts"]
    own = hosts["entry-1"]
    assert own["gated_ranges"] == {"price-01": 1}
    assert own["leaders"] == {"radom": "entry-2"}
    assert own["limits"] == {"price-01": {"slots": 2}}
    assert own["invariant_violations"] == {"one owner": 1}
    assert own["table_version"] == 0
    assert "ConnectError" in hosts["entry-9"]["unreachable"]


async def test_explain_before_any_state_and_for_an_unknown_service() -> None:
    """Guards against an answer that is not based on any state."""
    early = scenes.Scene().operations.explain("prices", "k")
    assert isinstance(early, outcomes.Refusal)
    assert early.code is Code.NOT_READY
    late = scenes.Scene().with_table().operations.explain("price", "k")
    assert isinstance(late, outcomes.Refusal)
    assert late.code is Code.UNKNOWN_SERVICE


async def test_explain_names_owner_gate_leader_and_reason() -> None:
    scene = scenes.Scene().with_table()
    before = scene.operations.explain("prices", "k")
    assert not isinstance(before, outcomes.Refusal)
    assert (before["owner"], before["why"]) == ("", "unassigned")
    scene.assign()
    scene.views.gates["price-01"] = scenes.Gate("entry-3", "127.0.0.1:3")
    found = scene.operations.explain("prices", "k")
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
async def test_explain_heeds_a_step_of_the_present_assignment_only(
    version: int, owner: str, why: str
) -> None:
    """Guards against an owner from a step that the log has overtaken."""
    scene = scenes.Scene().with_table()
    scene.assign()
    scene.views.step = scenes.Step(version, 1, "price-02")
    found = scene.operations.explain("prices", "k")
    assert not isinstance(found, outcomes.Refusal)
    assert (found["owner"], found["why"]) == (owner, why)


async def test_explain_tells_that_a_range_is_moving() -> None:
    scene = scenes.Scene().with_table()
    scene.assign()
    (owned,) = scene.state.ranges_by_service["prices"]
    change = records.RangeChange(
        "prices", owned.start, owned.end, (owned.version,), "price-02"
    )
    term = scenes.LEADER._replace(epoch=0)
    scene.apply(records.Intent("d", "radom", term, (change,)))
    found = scene.operations.explain("prices", "k")
    assert not isinstance(found, outcomes.Refusal)
    assert found["why"] == "moving since offset 3"


async def test_accepted_table_names_the_hosts_without_it() -> None:
    """Guards against a change that is reported as in force everywhere."""
    scene = scenes.Scene()
    scene.peers.answers = {
        "entry-2": scenes.peer("entry-2", 5),
        "entry-3": scenes.peer("entry-3", -3),
        "entry-4": scenes.LOST,
    }
    answer = await scene.operations.apply_table(scenes.SHEET, "-1", "ana")
    assert isinstance(answer, operations.Confirmations)
    assert answer.offset == 0
    assert answer.in_force == ["entry-1", "entry-2"]
    assert answer.pending == ["entry-3"]
    assert list(answer.unreachable) == ["entry-4"]


@pytest.mark.parametrize(
    ("sheet", "base", "code"),
    [
        (scenes.SHEET, "-1", Code.TABLE_CONFLICT),
        (scenes.SHEET, "7", Code.TABLE_CONFLICT),
        (scenes.SHEET, "x", Code.TABLE_INVALID),
        (scenes.SHEET, "9" * 30, Code.TABLE_INVALID),
        ("", "0", Code.TABLE_INVALID),
        (scenes.SHEET.replace("price-02", "price-01"), "0", None),
    ],
)
async def test_bad_change_is_refused_and_the_table_stays(
    sheet: str, base: str, code: codes.ResultCode | None
) -> None:
    """Guards against a lost update, and against a table that is broken."""
    scene = scenes.Scene().with_table()
    answer = await scene.operations.apply_table(sheet, base, "ana")
    assert isinstance(answer, outcomes.Refusal)
    assert answer.code is (code or Code.TABLE_INVALID)
    assert scene.state.table.version == 0


async def test_current_replaces_the_version_in_force() -> None:
    scene = scenes.Scene().with_table()
    answer = await scene.operations.apply_table(scenes.SHEET, "current", "ana")
    assert isinstance(answer, operations.Confirmations)
    assert scene.state.table.version == answer.offset == 2


async def test_domain_and_host_change_back_and_forth() -> None:
    """Guards against a base that is not the name's own last change."""
    scene = scenes.Scene().with_table()
    for state in ("out", "in", "out"):
        answer = await scene.operations.set_domain("radom", state, "ana")
        assert isinstance(answer, operations.Confirmations)
    assert scene.state.domain("radom").state == "out"
    assert scene.operations.ready()
    for state in ("leaving", "active", "leaving"):
        answer = await scene.operations.set_host("entry-1", state, "ana")
        assert isinstance(answer, operations.Confirmations)
    assert not scene.operations.ready()


async def test_host_that_stops_is_not_ready() -> None:
    """Guards against new requests for a daemon that got SIGTERM."""
    scene = scenes.Scene().with_table()
    scene.operations.mark_leaving()
    assert not scene.operations.ready()
    assert scene.operations.host_status()["state"] == "leaving"


async def test_unknown_names_are_refused() -> None:
    """Guards against a typing error that is taken for a change."""
    scene = scenes.Scene().with_table()
    for answer in (
        await scene.operations.set_domain("random", "out", "ana"),
        await scene.operations.set_host("entry-11", "leaving", "ana"),
    ):
        assert isinstance(answer, outcomes.Refusal)
        assert answer.code is Code.NAME_UNKNOWN
