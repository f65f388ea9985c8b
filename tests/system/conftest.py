"""Starts the small deployment for each test."""

from __future__ import annotations

import typing

import pytest

from bench import processes
from tests.system import scene as scenes

FAILED = pytest.StashKey[bool]()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> typing.Generator[None, pytest.TestReport, pytest.TestReport]:
    """Remember whether a test failed, for the fixture's end."""
    report = yield
    if report.failed:
        item.stash[FAILED] = True
    return report


@pytest.fixture
def scene(request: pytest.FixtureRequest) -> typing.Iterator[scenes.Scene]:
    """Return the small deployment, running; all probed keys are served."""
    with processes.Processes() as running:
        started = scenes.Scene(running)
        started.start()
        yield started
        running.keep_output = request.node.stash.get(FAILED, False)
        running.stop(grace=0.0)


@pytest.fixture
def warm_scene(scene: scenes.Scene) -> scenes.Scene:
    """Return the small deployment when its servers count as warm."""
    scene.wait_warm()
    return scene
