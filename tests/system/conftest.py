"""Starts the small deployment of processes for each test."""

from __future__ import annotations

import typing

import pytest

from bench import processes
from tests.system import clusters

HAS_FAILED = pytest.StashKey[bool]()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> typing.Generator[None, pytest.TestReport, pytest.TestReport]:
    """Record failures, for the teardown of the `cluster` fixture."""
    report = yield
    if report.failed:
        item.stash[HAS_FAILED] = True
    return report


@pytest.fixture
def cluster(
    request: pytest.FixtureRequest,
) -> typing.Iterator[clusters.Cluster]:
    """Return the running deployment once all probed keys are served."""
    with processes.Processes() as running:
        started = clusters.Cluster(running)
        started.start()
        yield started
        running.keep_output = request.node.stash.get(HAS_FAILED, False)
        running.stop(grace=0.0)


@pytest.fixture
def warm_cluster(cluster: clusters.Cluster) -> clusters.Cluster:
    """Return the running deployment once its servers count as warm."""
    cluster.wait_warm()
    return cluster
