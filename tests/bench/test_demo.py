"""The demo against a command that answers requests itself."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

FAKE = pathlib.Path(__file__).parent / "fake_agatestile.py"


@pytest.mark.slow
@pytest.mark.parametrize(
    ("fault", "status", "shown"),
    [("", 0, "entry-2 killed half-way"), ("crossed", 1, "BROKEN  whole")],
)
def test_exit_status_tells_whether_invariants_held(
    fault: str, status: int, shown: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a demo that succeeds in spite of wrong answers."""
    monkeypatch.setenv("FAKE_FAULT", fault)
    ended = subprocess.run(
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
    assert ended.returncode == status, ended.stdout + ended.stderr
    assert shown in ended.stdout
