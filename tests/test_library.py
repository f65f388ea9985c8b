"""Tests of the names that other programs may embed."""

from __future__ import annotations

import subprocess
import sys

import pytest

import agatestile
from examples import exclusive_server


@pytest.mark.parametrize("name", agatestile.__all__)
def test_exported_name_resolves_to_the_object_of_that_name(name: str) -> None:
    """Guards against an export that still names the module of moved code."""
    assert getattr(agatestile, name).__name__ == name
    assert name in dir(agatestile)


def test_unknown_name_raises_an_attribute_error() -> None:
    assert not hasattr(agatestile, "Gate_Table")


def test_submodule_does_not_load_the_exported_parts() -> None:
    """Guards against a command line that loads all parts at its start."""
    program = (
        "import sys, agatestile.results.codes as codes; "
        "print([name for name in sys.modules if 'thrift' in name])"
    )
    result = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout == "[]\n"


def test_example_lets_one_host_at_a_time_use_the_server() -> None:
    """Guards against an example in which two hosts use one server at once."""
    assert exclusive_server.main() == [
        "host-a: done",
        "host-b: NOT_GATE",
        "host-b: done",
        "host-a: refused by the server",
        "host-a: LEASE_LAPSED",
    ]
