"""Root command, which contains all others."""

from __future__ import annotations

import click

from agatestile.console.commands import domain
from agatestile.console.commands import explain
from agatestile.console.commands import host
from agatestile.console.commands import serve
from agatestile.console.commands import status
from agatestile.console.commands import table
from agatestile.console.commands import trace
from agatestile.console.commands import version
from agatestile.console import exit_status


@click.group(epilog=exit_status.HELP)
def root() -> None:
    """Route requests to backend servers that own keys exclusively."""


root.add_command(domain.domain)
root.add_command(explain.explain)
root.add_command(host.host)
root.add_command(serve.serve)
root.add_command(status.status)
root.add_command(table.table)
root.add_command(trace.trace)
root.add_command(version.version)
