"""Entry point of the program."""

from __future__ import annotations

import importlib
import sys
import types
import typing


def main() -> None:
    """Run the command line."""
    # httpcore imports trio where it is installed, and trio starts ldconfig
    # as a child process when it is imported. The program starts none.
    sys.modules.setdefault("trio", typing.cast(types.ModuleType, None))
    root = importlib.import_module("agatestile.console.commands.root")
    root.root(prog_name="agatestile")
