"""Fixtures and hooks shared by all tests."""

from __future__ import annotations

import pathlib

import pytest

KNOWN_RED_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio, as the daemons do."""
    return "asyncio"


def _known_failures() -> set[str]:
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    prefix = "test: "
    return {
        line.removeprefix(prefix).strip()
        for line in lines
        if line.startswith(prefix)
    }


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect exactly the tests that KNOWN-RED.txt lists."""
    excluded = _known_failures()
    deselected = [item for item in items if item.nodeid in excluded]
    if not deselected:
        return
    items[:] = [item for item in items if item.nodeid not in excluded]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that KNOWN-RED.txt excludes."""
    for node_id in sorted(_known_failures()):
        terminalreporter.write_line(
            f"listed in KNOWN-RED.txt, not run: {node_id}"
        )
