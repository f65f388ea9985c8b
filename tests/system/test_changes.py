"""Changes by operators, with faults of the log and with competitors."""

from __future__ import annotations

import concurrent.futures
import json
import re
import time
import typing

import pytest

from agatestile.results import codes
from agatestile.results import outcomes
from tests.system import scene as scenes
from tests.system import uploads

if typing.TYPE_CHECKING:
    from agatestile.admin import client as admin_client
    from tests.system.scene import Scene

pytestmark = pytest.mark.slow

IN_FORCE = 7.0  # seconds, invariant 4 of the design
NO_NEW_WORK = 3.0  # seconds, invariant 3 of the design
DOMAIN = "north"
OTHER_DOMAIN = "south"


def _sheet(scene: Scene, old: str, new: str) -> str:
    sheet = str(scenes.answered(scene.admin().table())["csv"])
    assert old in sheet
    return sheet.replace(old, new)


def _tables(scene: Scene) -> list[tuple[int, str]]:
    """Return version and sheet of the table in force on each host."""
    tables = [
        scenes.answered(scene.admin(host).table()) for host in scene.live()
    ]
    return [(table["version"], table["csv"]) for table in tables]


def test_answers_of_the_log_lost(scene: Scene) -> None:
    """Guards against a change that is reported as not made."""
    path = scene.directory / "changed.csv"
    path.write_text(_sheet(scene, "always,40,200", "always,41,200"))
    scene.control("log", lose_answers=2)
    started = time.monotonic()
    shown = scene.console(
        scene.live()[0],
        "table",
        "apply",
        str(path),
        "--base",
        "current",
        "--wait",
        "7",
        "--output",
        "json",
    )
    assert time.monotonic() - started < IN_FORCE
    answer = json.loads(shown)
    assert sorted(answer["in_force"]) == scene.hosts
    tables = _tables(scene)
    assert tables == [tables[0]] * len(scene.hosts)
    assert tables[0][0] == answer["offset"]
    assert "always,41,200" in tables[0][1]
    # The loss has been used up, so a second change gets its answer.
    path.write_text(_sheet(scene, "always,41,200", "always,42,200"))
    scene.console(
        scene.live()[1], "table", "apply", str(path), "--base", "current"
    )
    scene.check_invariants([])


def test_two_operators_race(scene: Scene) -> None:
    """Guards against a change that silently replaces another one."""
    first, second = scene.live()[:2]
    for number in range(5):
        version, sheet = _tables(scene)[0]
        queues = (50 + 2 * number, 51 + 2 * number)
        sheets = [_with_queue(sheet, queue) for queue in queues]
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            answers = list(
                pool.map(
                    lambda host, changed, base: scene.admin(host).apply_table(
                        changed, base
                    ),
                    (first, second),
                    sheets,
                    (str(version),) * 2,
                )
            )
        _check_race(scene, answers, sheets)
    scene.check_invariants([])


def _with_queue(sheet: str, queue: int) -> str:
    changed, count = re.subn(
        r"always,[0-9]+,200", f"always,{queue},200", sheet
    )
    assert count == 1
    return changed


def _check_race(
    scene: Scene, answers: list[admin_client.Answer], sheets: list[str]
) -> None:
    refused = [item for item in answers if isinstance(item, outcomes.Refusal)]
    assert [item.code for item in refused] == [
        codes.ResultCode.TABLE_CONFLICT
    ], answers
    winner = next(
        number
        for number, item in enumerate(answers)
        if not isinstance(item, outcomes.Refusal)
    )
    version = scenes.answered(answers[winner])["offset"]
    scene.wait_until(
        "the winner's table on all hosts",
        lambda: {item[0] for item in _tables(scene)} == {version},
        IN_FORCE,
    )
    assert {item[1] for item in _tables(scene)} == {sheets[winner]}


def test_domain_out_and_in(warm_scene: Scene) -> None:
    """Guards against work for a domain that is out, and cut requests."""
    scene = warm_scene
    servers = scene.servers_of(DOMAIN)
    server = "order-1"
    host = scene.gate(server)
    path = "/".join(("", *scene.key_of(server)))
    with (
        concurrent.futures.ThreadPoolExecutor(1) as pool,
        scene.probe(13.0) as probes,
    ):
        upload = pool.submit(uploads.send, scene, host, path)
        # It ends a second before no new work may be counted.
        time.sleep(uploads.SECONDS - NO_NEW_WORK + 1.0)
        asked = time.monotonic()
        scenes.answered(scene.admin().set_domain(DOMAIN, "out"))
        counts = _counts_after(scene, servers, asked + NO_NEW_WORK)
        assert not set(scene.owners().values()) & set(servers)
        uploads.check(scene, server, upload.result())
        time.sleep(2.0)
        assert _counts_after(scene, servers, 0.0) == counts
        scenes.answered(scene.admin().set_domain(DOMAIN, "in"))
        # Taking another one out needs the servers of the returned one.
        asked_again = time.monotonic()
        scenes.answered(scene.admin().set_domain(OTHER_DOMAIN, "out"))
        others = scene.servers_of(OTHER_DOMAIN)
        _counts_after(scene, others, asked_again + NO_NEW_WORK)
        owners = set(scene.owners().values())
        assert not owners & set(others)
        assert owners & set(servers)
    probes.assert_served(asked, NO_NEW_WORK)
    probes.assert_none_cut()
    scene.check_invariants(probes.records)


def test_server_leaving(warm_scene: Scene) -> None:
    """Guards against work for a server that leaves, and cut requests."""
    scene = warm_scene
    server = "order-1"
    row = next(
        line
        for line in _sheet(scene, server, server).splitlines()
        if f",{server}," in line
    )
    sheet = _sheet(scene, row, row.replace(",active,", ",leaving,"))
    with scene.probe(8.0) as probes:
        asked = time.monotonic()
        scenes.answered(scene.admin().apply_table(sheet, "current"))
        counts = _counts_after(scene, [server], asked + NO_NEW_WORK)
        assert server not in scene.owners().values()
        time.sleep(2.0)
        assert _counts_after(scene, [server], 0.0) == counts
    probes.assert_served(asked, NO_NEW_WORK)
    probes.assert_none_cut()
    scene.check_invariants(probes.records)


def _counts_after(
    scene: Scene, servers: list[str], moment: float
) -> dict[str, int]:
    time.sleep(max(0.0, moment - time.monotonic()))
    return {server: scene.executed(server) for server in servers}
