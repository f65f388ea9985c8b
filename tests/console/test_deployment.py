"""Tests commands against daemons that run as processes."""

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
def cluster(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[deployment.Deployment]:
    """Start the processes and put the services table in force."""
    with processes.Processes() as running:
        cluster = deployment.Deployment(tmp_path, running)
        cluster.start()
        applied = cluster.run(
            "table", "apply", str(cluster.table), "--base", "-1", "--wait", "7"
        )
        assert applied.status == ExitStatus.DONE, applied
        cluster.wait_for("owners and gates", lambda: _all_served(cluster))
        yield cluster


def _explained_values(cluster: deployment.Deployment, name: str) -> set[str]:
    return {cluster.explain(key)[name] for key in KEYS}


def _all_served(cluster: deployment.Deployment) -> bool:
    explanations = [cluster.explain(key) for key in KEYS]
    return all(
        explanation["gate"] and explanation["owner"]
        for explanation in explanations
    )


def test_operator_changes_the_table_during_faults_of_the_log(
    cluster: deployment.Deployment,
) -> None:
    """Guards against a lost, duplicated or wrongly reported change.

    The log first has an outage and then loses one answer to an append.
    """
    version = cluster.json("table", "show")["version"]
    apply = ("table", "apply", str(cluster.table), "--wait", "7", "--base")
    cluster.control_log(outage=True)
    refused = cluster.run(*apply, str(version))
    assert refused.status == ExitStatus.REFUSED
    assert "LOG_UNAVAILABLE" in refused.errors
    cluster.control_log(outage=False, lose_answers=1)
    done = cluster.run(*apply, str(version), host="entry-2")
    assert done.status == ExitStatus.DONE, done
    new_version = cluster.json("table", "show")["version"]
    assert new_version > version
    conflict = cluster.run(*apply, str(version), host="entry-3")
    assert conflict.status == ExitStatus.REFUSED
    assert "TABLE_CONFLICT" in conflict.errors
    assert f"version {new_version}" in conflict.errors


def test_killed_host_is_named_and_its_servers_get_other_gates(
    cluster: deployment.Deployment,
) -> None:
    """Guards against a change reported as in force on a killed host."""
    cluster.kill("entry-3")
    result = cluster.run(
        "table",
        "apply",
        str(cluster.table),
        "--base",
        "current",
        "--wait",
        "5",
    )
    assert result.status == ExitStatus.NOT_EVERYWHERE
    assert "not confirmed by: entry-3" in result.output
    cluster.wait_for(
        "gates on other hosts",
        lambda: _explained_values(cluster, "gate") <= {"entry-1", "entry-2"},
    )
    assert "entry-3: not reached" in cluster.run("status").output


def test_domain_is_taken_out_of_service_and_back(
    cluster: deployment.Deployment,
) -> None:
    """Guards against keys that stay in a domain taken out of service."""
    assert _explained_values(cluster, "domain") == {"north", "south"}
    out = cluster.run("domain", "out", "south", "--wait", "7")
    assert out.status == ExitStatus.DONE, out
    cluster.wait_for(
        "ranges in the north",
        lambda: _explained_values(cluster, "domain") == {"north"},
    )
    assert "domain south: out" in cluster.run("status").output
    back = cluster.run("domain", "in", "south", "--wait", "7")
    assert back.status == ExitStatus.DONE, back
    assert "domain south: in" in cluster.run("status").output


def test_host_leaves_and_returns(cluster: deployment.Deployment) -> None:
    """Guards against a leaving host that keeps its gates or stays ready."""
    assert cluster.is_ready("entry-1")
    left = cluster.run("host", "leave", "entry-1", "--wait", "7")
    assert left.status == ExitStatus.DONE, left
    assert not cluster.is_ready("entry-1")
    cluster.wait_for(
        "gates on other hosts",
        lambda: _explained_values(cluster, "gate") <= {"entry-2", "entry-3"},
    )
    back = cluster.run("host", "return", "entry-1", "--wait", "7")
    assert back.status == ExitStatus.DONE, back
    assert cluster.is_ready("entry-1")
