"""Entry point of the command line program."""

from __future__ import annotations

import importlib
import sys
import types
import typing


def main() -> None:
    """Run the command line."""
    # httpcore imports trio where it is installed, and importing trio starts
    # ldconfig as a child process. The program must not start any.
    sys.modules.setdefault("trio", typing.cast(types.ModuleType, None))
    root = importlib.import_module("agatestile.console.commands.root")
    root.root(prog_name="agatestile")
