"""Tests of the program packed into a single executable file."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import typing

import pytest


ROOT = pathlib.Path(__file__).parent.parent
BINARY = ROOT / "dist" / "agatestile"

# Loaded by the interpreter before the program; reports its child processes.
# A child that was waited for adds page faults, any other one is in the list
# of children. Page faults from before the program starts are subtracted, since
# a shim that locates the interpreter may have had children.
CHILD_RECORDER = """\
import atexit, json, os, resource, sys
def faults():
    return resource.getrusage(resource.RUSAGE_CHILDREN).ru_minflt
before = faults()
started = []
def audit(event, arguments):
    if event in ("os.fork", "os.forkpty", "os.posix_spawn", "os.system",
                 "os.exec", "subprocess.Popen"):
        started.append(event)
def report():
    path = f"/proc/self/task/{os.getpid()}/children"
    children = open(path).read().split()
    waited = faults() - before
    with open(os.environ["REPORT"], "a") as file:
        file.write(json.dumps([started, children, waited]) + "\\n")
sys.addaudithook(audit)
atexit.register(report)
"""


@pytest.fixture(scope="module")
def binary() -> pathlib.Path:
    """Return the executable file, built if it does not exist."""
    if not BINARY.exists():
        # The environment that runs the tests is complete, so make need not
        # check its marker file.
        marker = pathlib.Path(sys.prefix) / ".ready"
        subprocess.run(
            ["make", "binary", f"VENV={sys.prefix}", "-o", str(marker)],
            cwd=ROOT,
            check=True,
        )
    return BINARY


@pytest.fixture
def environment(tmp_path: pathlib.Path) -> dict[str, str]:
    """Return environment variables that make a program report children."""
    (tmp_path / "sitecustomize.py").write_text(
        CHILD_RECORDER, encoding="utf-8"
    )
    return {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(tmp_path),
        "REPORT": str(tmp_path / "report"),
        "SHIV_ROOT": str(tmp_path / "unpacked"),
    }


def _reported_children(environment: dict[str, str]) -> list[typing.Any]:
    report = pathlib.Path(environment["REPORT"])
    return [json.loads(line) for line in report.read_text().splitlines()]


@pytest.mark.slow
def test_binary_is_one_process(
    binary: pathlib.Path, environment: dict[str, str]
) -> None:
    """Guards against a file that needs an installation or child processes."""
    result = subprocess.run(
        [binary, "version"],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    assert result.stdout[0].isdigit()
    assert result.stderr == ""
    assert _reported_children(environment) == [[[], [], 0]]


@pytest.mark.slow
def test_daemon_is_one_process_and_ends_after_sigterm(
    binary: pathlib.Path,
    environment: dict[str, str],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a daemon with child processes, or that needs a platform.

    Nothing listens at the addresses of the log and the membership list.
    """
    configuration = tmp_path / "host.yaml"
    configuration.write_text(_configuration(), encoding="utf-8")
    with subprocess.Popen(
        [binary, "serve", "--config", configuration],
        env=environment,
        stderr=subprocess.PIPE,
        text=True,
    ) as daemon:
        assert daemon.stderr is not None
        for line in daemon.stderr:
            if "serves callers" in line:
                break
        daemon.terminate()
        _, error_output = daemon.communicate(timeout=30)
    assert daemon.returncode == 0, error_output
    assert _reported_children(environment) == [[[], [], 0]]


def _configuration() -> str:
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(5)
        ]
        addresses = [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    callers, forward, peers, admin, platform = addresses
    return f"""\
host: entry-1
failure_domain: radom
failure_domains: [radom]
listen:
  callers: {callers}
  forward: {forward}
  peers: {peers}
  admin: {admin}
platform: {{log: "http://{platform}", membership: "http://{platform}"}}
"""
