"""Tests the trace command."""

from __future__ import annotations

import pathlib

from click import testing

from agatestile.console.commands import root
from tests.observability import test_timeline


def test_trace_prints_lines_in_order(tmp_path: pathlib.Path) -> None:
    """Guards against lines of one request printed out of order."""
    path = tmp_path / "host.log"
    path.write_text("\n".join(test_timeline.LOGS))
    result = testing.CliRunner().invoke(root.root, ["trace", "id", str(path)])
    assert result.exit_code == 0
    assert "10.0000 a request_refused" in result.output.splitlines()[-1]


def test_trace_of_an_unknown_request_says_what_to_do(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against empty output when the right logs were not given."""
    path = tmp_path / "host.log"
    path.write_text("")
    result = testing.CliRunner().invoke(root.root, ["trace", "id", str(path)])
    assert result.exit_code == 1
    assert "logs of the host" in result.output
