"""Options shared by several commands."""

from __future__ import annotations

import getpass
import typing

import click

from agatestile.admin import client as admin_client

Command = typing.TypeVar("Command", bound=typing.Callable[..., typing.Any])


def admin(command: Command) -> Command:
    """Add the options for the daemon's address and the operator's name."""
    command = click.option(
        "--operator",
        default=_user_name,
        show_default="name of the user",
        help="Name of the operator, for the log.",
    )(command)
    return click.option(
        "--admin",
        metavar="ADDRESS",
        envvar="AGATESTILE_ADMIN",
        show_envvar=True,
        required=True,
        callback=_check_address,
        help="Admin address of a daemon, ip:port.",
    )(command)


def output(command: Command) -> Command:
    """Add the option that selects the output format."""
    return click.option(
        "--output",
        type=click.Choice(["text", "json"]),
        default="text",
        show_default=True,
        help="Output format.",
    )(command)


def wait(command: Command) -> Command:
    """Add the option that waits until a change is in force."""
    return click.option(
        "--wait",
        "seconds",
        type=click.FloatRange(min=0),
        default=0.0,
        metavar="SECONDS",
        help="Wait until the change is in force on every reachable host.",
    )(command)


def connect(address: str, operator: str) -> admin_client.AdminClient:
    """Return a client for the values of the options that `admin` adds."""
    return admin_client.AdminClient(address, operator)


def _user_name() -> str:
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
