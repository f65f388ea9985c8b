"""Runs all measurements one after another, for ``make measure``.

Each prints its own tables. docs/measurements.md and docs/CAPACITY.md list
the figures of a run with its date.
"""

from __future__ import annotations

import shlex
import subprocess
import sys

import click

DAEMON_COMMAND = "agatestile"


def _commands(agatestile: str) -> list[list[str]]:
    """Return the arguments of the Python interpreter for each run."""
    return [
        ["-m", "bench.capacity"],
        ["-m", "bench.control", "--agatestile", agatestile],
        ["-m", "bench.throughput"],
        ["-m", "bench.placement"],
        ["-m", "bench.service"],
    ]


@click.command()
@click.option("--agatestile", default=DAEMON_COMMAND, show_default=True)
def main(agatestile: str) -> None:
    """Run all measurements; stop with the first exit status other than 0."""
    for arguments in _commands(agatestile):
        click.echo(f"== python {shlex.join(arguments)}")
        completed = subprocess.run([sys.executable, *arguments], check=False)
        if completed.returncode:
            sys.exit(completed.returncode)


if __name__ == "__main__":
    main()
