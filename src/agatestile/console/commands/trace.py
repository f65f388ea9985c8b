"""Shows what decided about one request."""

from __future__ import annotations

import itertools
import pathlib

import click

from agatestile.console import exits
from agatestile.observability import timeline
from agatestile.results import codes
from agatestile.results import outcomes


@click.command(epilog=exits.HELP)
@click.argument("request_id")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(path_type=pathlib.Path, exists=True, dir_okay=False),
)
def trace(request_id: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Show the lines of REQUEST_ID in LOGS, with what explains them.

    LOGS are the structured logs of any number of hosts.
    """
    texts = itertools.chain.from_iterable(
        path.read_text("utf-8", "replace").splitlines() for path in logs
    )
    lines = timeline.lines_of_request(request_id, texts)
    if not lines:
        exits.refuse(
            outcomes.Refusal(
                codes.ResultCode.NAME_UNKNOWN,
                f"no line names request {request_id}; are the logs of the"
                " host that answered among them?",
            )
        )
    for line in lines:
        rest = " ".join(
            f"{name}={value}"
            for name, value in line.items()
            if name not in ("time", "host", "event") and value != ""
        )
        click.echo(f"{line['time']:.4f} {line['host']} {line['event']} {rest}")
