"""Settings shared by all tests."""

from __future__ import annotations

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


@pytest.fixture
def anyio_backend() -> str:
    """Run tests on the loop that the daemons use."""
    return "asyncio"


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    prefix = "test: "
    return {
        line.removeprefix(prefix).strip()
        for line in lines
        if line.startswith(prefix)
    }


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Leave out exactly the tests that KNOWN-RED.txt lists."""
    known = _known_red()
    red = [item for item in items if item.nodeid in known]
    if not red:
        return
    items[:] = [item for item in items if item.nodeid not in known]
    config.hook.pytest_deselected(items=red)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that were left out."""
    for name in sorted(_known_red()):
        terminalreporter.write_line(f"known red, not run: {name}")
