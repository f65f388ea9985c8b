"""Tests of the demo with a command that answers requests itself."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

FAKE = pathlib.Path(__file__).parent / "fake_agatestile.py"


@pytest.mark.slow
@pytest.mark.parametrize(
    ("fault", "status", "output"),
    [("", 0, "entry-2 killed half-way"), ("crossed", 1, "BROKEN  complete")],
)
def test_exit_status_is_1_only_after_a_violation(
    fault: str, status: int, output: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a demo that succeeds although responses are wrong.

    With the fault, each request gets the response to the previous one.
    """
    monkeypatch.setenv("FAKE_FAULT", fault)
    finished = subprocess.run(
        [
            sys.executable,
            "-m",
            "bench.demo",
            "--agatestile",
            f"{sys.executable} {FAKE}",
            "--deployment",
            "accra-metro",
            "--seconds",
            "1",
            "--free-ports",
            "--rate",
            "50",
        ],
        capture_output=True,
        text=True,
        timeout=90,
    )
    assert finished.returncode == status, finished.stdout + finished.stderr
    assert output in finished.stdout
