"""Commands against daemons that run as processes."""

from __future__ import annotations

import collections.abc
import pathlib

import pytest

from agatestile.console.exit_status import ExitStatus
from bench import processes
from tests.console import deployment

KEYS = [f"key-{number}" for number in range(16)]

pytestmark = pytest.mark.slow


@pytest.fixture
def small(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[deployment.Deployment]:
    """Start the small deployment and put its table in force."""
    with processes.Processes() as running:
        small = deployment.Deployment(tmp_path, running)
        small.start()
        first = small.run(
            "table", "apply", str(small.table), "--base", "-1", "--wait", "7"
        )
        assert first.status == ExitStatus.DONE, first
        small.wait_for("owners and gates", lambda: _all_served(small))
        yield small


def _values(small: deployment.Deployment, name: str) -> set[str]:
    return {small.explain(key)[name] for key in KEYS}


def _all_served(small: deployment.Deployment) -> bool:
    found = [small.explain(key) for key in KEYS]
    return all(one["gate"] and one["owner"] for one in found)


def test_operator_changes_the_table_while_the_log_fails(
    small: deployment.Deployment,
) -> None:
    """Guards against a lost, doubled or wrongly reported change."""
    version = small.json("table", "show")["version"]
    apply = ("table", "apply", str(small.table), "--wait", "7", "--base")
    small.control_log(outage=True)
    refused = small.run(*apply, str(version))
    assert refused.status == ExitStatus.REFUSED
    assert "LOG_UNAVAILABLE" in refused.errors
    small.control_log(outage=False, lose_answers=1)
    done = small.run(*apply, str(version), host="entry-2")
    assert done.status == ExitStatus.DONE, done
    newer = small.json("table", "show")["version"]
    assert newer > version
    lost = small.run(*apply, str(version), host="entry-3")
    assert lost.status == ExitStatus.REFUSED
    assert "TABLE_CONFLICT" in lost.errors
    assert f"version {newer}" in lost.errors


def test_lost_host_is_named_and_its_servers_get_other_gates(
    small: deployment.Deployment,
) -> None:
    """Guards against a change that looks as if it were in force on it."""
    small.kill("entry-3")
    result = small.run(
        "table", "apply", str(small.table), "--base", "current", "--wait", "5"
    )
    assert result.status == ExitStatus.NOT_EVERYWHERE
    assert "not confirmed by: entry-3" in result.output
    small.wait_for(
        "gates on other hosts",
        lambda: _values(small, "gate") <= {"entry-1", "entry-2"},
    )
    assert "entry-3: not reached" in small.run("status").output


def test_domain_goes_out_and_comes_back(small: deployment.Deployment) -> None:
    """Guards against keys that stay in a domain that was taken out."""
    assert _values(small, "domain") == {"north", "south"}
    out = small.run("domain", "out", "south", "--wait", "7")
    assert out.status == ExitStatus.DONE, out
    small.wait_for(
        "ranges in the north", lambda: _values(small, "domain") == {"north"}
    )
    assert "domain south: out" in small.run("status").output
    back = small.run("domain", "in", "south", "--wait", "7")
    assert back.status == ExitStatus.DONE, back
    assert "domain south: in" in small.run("status").output


def test_host_leaves_and_returns(small: deployment.Deployment) -> None:
    """Guards against a host that keeps gates or readiness after it left."""
    assert small.is_ready("entry-1")
    left = small.run("host", "leave", "entry-1", "--wait", "7")
    assert left.status == ExitStatus.DONE, left
    assert not small.is_ready("entry-1")
    small.wait_for(
        "gates on other hosts",
        lambda: _values(small, "gate") <= {"entry-2", "entry-3"},
    )
    back = small.run("host", "return", "entry-1", "--wait", "7")
    assert back.status == ExitStatus.DONE, back
    assert small.is_ready("entry-1")
