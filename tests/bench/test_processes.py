"""Tests of starting and stopping processes."""

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
    """Guards against processes that outlive a failed trial."""
    with processes.Processes() as running:
        process = running.start(
            "ignoring", [sys.executable, "-c", IGNORES_TERM]
        )
        running.wait_until("output", lambda: "up" in process.text(), 5.0)
        assert running.stop("ignoring", grace=0.2) == {"ignoring": -9}
    assert not running.directory.exists()


def test_wait_fails_when_a_process_exits_and_prints_its_output(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards against a wait until the timeout after a daemon has exited."""
    command = [sys.executable, "-c", "raise SystemExit('bad settings')"]
    with pytest.raises(processes.NotReadyError, match="exited.*entry-1"):
        with processes.Processes() as running:
            running.start("entry-1", command)
            running.wait_until("ready", lambda: False, 10.0)
    assert "bad settings" in capfd.readouterr().err
