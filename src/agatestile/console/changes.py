"""Follows a change until it is in force, and shows where it is."""

from __future__ import annotations

import sys
import time
import typing

import click

from agatestile.console import exits
from agatestile.console import views
from agatestile.results import outcomes

if typing.TYPE_CHECKING:
    from agatestile.admin import client as admin_client

POLL_INTERVAL = 0.2  # seconds


def finish(
    client: admin_client.AdminClient,
    answer: admin_client.Answer,
    seconds: float,
    output: str,
) -> typing.NoReturn:
    """Wait if asked to, print where a change is in force, and exit.

    Parameters
    ----------
    client : admin_client.AdminClient
        The daemon that took the change.
    answer : dict or outcomes.Refusal
        Its answer.
    seconds : float
        Longest wait for the hosts that respond but lack the change.
    output : str
        "text" or "json".
    """
    if isinstance(answer, outcomes.Refusal):
        exits.refuse(answer)
    until = time.monotonic() + seconds
    while answer["pending"] and time.monotonic() < until:
        time.sleep(POLL_INTERVAL)
        newer = client.confirmations(answer["offset"])
        if not isinstance(newer, outcomes.Refusal):
            answer = newer
    click.echo(_text(answer) if output == "text" else views.json(answer))
    if answer["pending"] or answer["unreachable"]:
        sys.exit(exits.ExitStatus.NOT_EVERYWHERE)
    sys.exit(exits.ExitStatus.DONE)


def _text(answer: dict[str, typing.Any]) -> str:
    lines = [
        f"accepted as version {answer['offset']}",
        f"in force on: {', '.join(answer['in_force']) or 'no host'}",
    ]
    if answer["pending"]:
        lines.append(f"not yet on: {', '.join(answer['pending'])}")
    lines += [
        f"not confirmed by: {host} ({reason})"
        for host, reason in answer["unreachable"].items()
    ]
    return "\n".join(lines)
