"""Start and end of processes."""

from __future__ import annotations

import sys

import pytest

from bench import processes

IGNORES_TERM = (
    "import signal, time\n"
    "signal.signal(signal.SIGTERM, signal.SIG_IGN)\n"
    "print('up', flush=True)\n"
    "time.sleep(60)\n"
)


def test_process_that_ignores_sigterm_is_killed() -> None:
    """Guards against processes left over by a failed trial."""
    with processes.Processes() as running:
        process = running.start("deaf", [sys.executable, "-c", IGNORES_TERM])
        running.wait_until("output", lambda: "up" in process.text(), 5.0)
        assert running.stop("deaf", grace=0.2) == {"deaf": -9}
    assert not running.directory.exists()


def test_ended_process_fails_the_wait_and_is_shown(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards against a wait until the timeout for a daemon that is gone."""
    command = [sys.executable, "-c", "raise SystemExit('bad settings')"]
    with pytest.raises(processes.NotReadyError, match="ended.*entry-1"):
        with processes.Processes() as running:
            running.start("entry-1", command)
            running.wait_until("ready", lambda: False, 10.0)
    assert "bad settings" in capfd.readouterr().err
