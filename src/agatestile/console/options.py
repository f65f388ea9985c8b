"""Options that several commands take."""

from __future__ import annotations

import getpass
import typing

import click

from agatestile.admin import client as admin_client

Command = typing.TypeVar("Command", bound=typing.Callable[..., typing.Any])


def admin(command: Command) -> Command:
    """Add the options that name a daemon and the operator."""
    command = click.option(
        "--operator",
        default=_user,
        show_default="name of the user",
        help="Who asks, for the log.",
    )(command)
    return click.option(
        "--admin",
        metavar="ADDRESS",
        envvar="AGATESTILE_ADMIN",
        show_envvar=True,
        required=True,
        callback=_check_address,
        help="Operators' address of a daemon, ip:port.",
    )(command)


def output(command: Command) -> Command:
    """Add the option that selects the form of the output."""
    return click.option(
        "--output",
        type=click.Choice(["text", "json"]),
        default="text",
        show_default=True,
        help="Form of the output.",
    )(command)


def wait(command: Command) -> Command:
    """Add the option that waits until a change is in force."""
    return click.option(
        "--wait",
        "seconds",
        type=click.FloatRange(min=0),
        default=0.0,
        metavar="SECONDS",
        help="Wait until every reachable host has the change in force.",
    )(command)


def connect(address: str, operator: str) -> admin_client.AdminClient:
    """Return a client for the options of `admin`."""
    return admin_client.AdminClient(address, operator)


def _user() -> str:
    try:
        return getpass.getuser()
    except (ImportError, KeyError, OSError):
        return "unknown"


def _check_address(
    context: click.Context, parameter: click.Parameter, value: str
) -> str:
    host, _, port = value.rpartition(":")
    if host and port.isdecimal() and int(port[:6]) < 65536:
        return value
    raise click.BadParameter(f"found {value!r}, expected ip:port")
