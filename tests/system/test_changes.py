"""Tests of operators' changes during log faults and concurrent changes."""

from __future__ import annotations

import concurrent.futures
import json
import re
import time
import typing

import pytest

from agatestile.results import codes
from agatestile.results import outcomes
from tests.system import clusters
from tests.system import uploads

if typing.TYPE_CHECKING:
    from agatestile.admin import client as admin_client
    from tests.system.clusters import Cluster

pytestmark = pytest.mark.slow

MAX_ACTIVATION_SECONDS = 7.0  # invariant 4, section 1.1 of docs/design.md
MAX_REMOVAL_SECONDS = 3.0  # invariant 3, section 1.1 of docs/design.md
DOMAIN = "north"
OTHER_DOMAIN = "south"


def _table_with(cluster: Cluster, old: str, new: str) -> str:
    csv_text = str(clusters.expect_success(cluster.admin().table())["csv"])
    assert old in csv_text
    return csv_text.replace(old, new)


def _tables(cluster: Cluster) -> list[tuple[int, str]]:
    """Return version and CSV text of the table in force on each host."""
    tables = [
        clusters.expect_success(cluster.admin(host).table())
        for host in cluster.live_hosts()
    ]
    return [(table["version"], table["csv"]) for table in tables]


def test_change_is_confirmed_despite_lost_log_responses(
    cluster: Cluster,
) -> None:
    """Guards against a change that is in force but reported as failed.

    The log appends the change, but its responses are lost.
    """
    path = cluster.directory / "changed.csv"
    path.write_text(_table_with(cluster, "always,40,200", "always,41,200"))
    cluster.control("log", lose_answers=2)
    started = time.monotonic()
    output = cluster.run_command(
        cluster.live_hosts()[0],
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
    assert time.monotonic() - started < MAX_ACTIVATION_SECONDS
    answer = json.loads(output)
    assert sorted(answer["in_force"]) == cluster.hosts
    tables = _tables(cluster)
    assert tables == [tables[0]] * len(cluster.hosts)
    assert tables[0][0] == answer["offset"]
    assert "always,41,200" in tables[0][1]
    # Both losses have been used up, so a second change gets its response.
    path.write_text(_table_with(cluster, "always,41,200", "always,42,200"))
    cluster.run_command(
        cluster.live_hosts()[1],
        "table",
        "apply",
        str(path),
        "--base",
        "current",
    )
    cluster.assert_invariants([])


def test_one_of_two_concurrent_changes_is_refused(cluster: Cluster) -> None:
    """Guards against a change that silently overwrites a concurrent one.

    Two operators apply tables that are based on the same version.
    """
    first, second = cluster.live_hosts()[:2]
    for number in range(5):
        version, csv_text = _tables(cluster)[0]
        queues = (50 + 2 * number, 51 + 2 * number)
        csv_texts = [_with_queue(csv_text, queue) for queue in queues]
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            answers = list(
                pool.map(
                    lambda host, changed, base: cluster.admin(
                        host
                    ).apply_table(changed, base),
                    (first, second),
                    csv_texts,
                    (str(version),) * 2,
                )
            )
        _assert_one_accepted(cluster, answers, csv_texts)
    cluster.assert_invariants([])


def _with_queue(csv_text: str, queue: int) -> str:
    changed, count = re.subn(
        r"always,[0-9]+,200", f"always,{queue},200", csv_text
    )
    assert count == 1
    return changed


def _assert_one_accepted(
    cluster: Cluster, answers: list[admin_client.Answer], csv_texts: list[str]
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
    version = clusters.expect_success(answers[winner])["offset"]
    cluster.wait_until(
        "the winner's table on all hosts",
        lambda: {item[0] for item in _tables(cluster)} == {version},
        MAX_ACTIVATION_SECONDS,
    )
    assert {item[1] for item in _tables(cluster)} == {csv_texts[winner]}


def test_domain_is_taken_out_and_put_back_without_interruption(
    warm_cluster: Cluster,
) -> None:
    """Guards against new requests to a removed domain, or interrupted ones.

    An upload runs while the domain is taken out, and must finish.
    """
    cluster = warm_cluster
    servers = cluster.servers_in(DOMAIN)
    server = "order-1"
    host = cluster.gate_host(server)
    path = "/".join(("", *cluster.key_owned_by(server)))
    with (
        concurrent.futures.ThreadPoolExecutor(1) as pool,
        cluster.probe(13.0) as probes,
    ):
        upload = pool.submit(uploads.send, cluster, host, path)
        # The upload ends a second before the bound on new requests.
        time.sleep(uploads.DURATION_SECONDS - MAX_REMOVAL_SECONDS + 1.0)
        asked = time.monotonic()
        clusters.expect_success(cluster.admin().set_domain(DOMAIN, "out"))
        counts = _executed_counts_at(
            cluster, servers, asked + MAX_REMOVAL_SECONDS
        )
        assert not set(cluster.owners().values()) & set(servers)
        uploads.assert_received_once(cluster, server, upload.result())
        time.sleep(2.0)
        assert _executed_counts_at(cluster, servers, 0.0) == counts
        clusters.expect_success(cluster.admin().set_domain(DOMAIN, "in"))
        # Without the other domain, keys need the servers of the returned one.
        asked_again = time.monotonic()
        clusters.expect_success(
            cluster.admin().set_domain(OTHER_DOMAIN, "out")
        )
        others = cluster.servers_in(OTHER_DOMAIN)
        _executed_counts_at(cluster, others, asked_again + MAX_REMOVAL_SECONDS)
        owners = set(cluster.owners().values())
        assert not owners & set(others)
        assert owners & set(servers)
    probes.assert_served(asked, MAX_REMOVAL_SECONDS)
    probes.assert_none_interrupted()
    cluster.assert_invariants(probes.records)


def test_leaving_server_gets_no_new_requests(warm_cluster: Cluster) -> None:
    """Guards against new requests to a leaving server, or interrupted ones."""
    cluster = warm_cluster
    server = "order-1"
    row = next(
        line
        for line in _table_with(cluster, server, server).splitlines()
        if f",{server}," in line
    )
    csv_text = _table_with(cluster, row, row.replace(",active,", ",leaving,"))
    with cluster.probe(8.0) as probes:
        asked = time.monotonic()
        clusters.expect_success(
            cluster.admin().apply_table(csv_text, "current")
        )
        counts = _executed_counts_at(
            cluster, [server], asked + MAX_REMOVAL_SECONDS
        )
        assert server not in cluster.owners().values()
        time.sleep(2.0)
        assert _executed_counts_at(cluster, [server], 0.0) == counts
    probes.assert_served(asked, MAX_REMOVAL_SECONDS)
    probes.assert_none_interrupted()
    cluster.assert_invariants(probes.records)


def _executed_counts_at(
    cluster: Cluster, servers: list[str], time_of_count: float
) -> dict[str, int]:
    time.sleep(max(0.0, time_of_count - time.monotonic()))
    return {server: cluster.executed_count(server) for server in servers}
