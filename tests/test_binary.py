"""The program as one file."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys

import pytest


ROOT = pathlib.Path(__file__).parent.parent
BINARY = ROOT / "dist" / "agatestile"

# Loaded by the interpreter before the program. A child that was waited for
# adds page faults, any other one is in the list of children. The count before
# the program starts is taken off, since a shim that finds the interpreter may
# have had children.
RECORDER = """\
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
    """Build the file unless it is there."""
    if not BINARY.exists():
        # The environment that runs the tests is complete, so its mark need
        # not be checked.
        ready = pathlib.Path(sys.prefix) / ".ready"
        subprocess.run(
            ["make", "binary", f"VENV={sys.prefix}", "-o", str(ready)],
            cwd=ROOT,
            check=True,
        )
    return BINARY


@pytest.mark.slow
def test_binary_is_one_process(
    binary: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    """Guards against a file that needs an installation or starts others."""
    (tmp_path / "sitecustomize.py").write_text(RECORDER, encoding="utf-8")
    report = tmp_path / "report"
    result = subprocess.run(
        [binary, "version"],
        cwd=tmp_path,
        env={
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(tmp_path),
            "REPORT": str(report),
            "SHIV_ROOT": str(tmp_path / "unpacked"),
        },
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    assert result.stdout[0].isdigit()
    assert result.stderr == ""
    reports = [json.loads(line) for line in report.read_text().splitlines()]
    assert reports == [[[], [], 0]]
