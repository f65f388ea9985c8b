"""Copies a deployment to other ports, so that trials can run at once."""

from __future__ import annotations

import pathlib
import random
import re
import typing

from bench import processes

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

# Below 32768, where the system takes ports for outgoing connections.
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000
TRIES = 50

_PORT = re.compile(r"(127\.0\.0\.1:|\bport: )([0-9]+)")


def copy_to_free_ports(source: pathlib.Path, target: pathlib.Path) -> int:
    """Write a deployment with all ports shifted to an unused area.

    Another process can take one of the ports before the deployment is
    started; `Deployment.start_platform` reports that.

    Parameters
    ----------
    source : pathlib.Path
        Directory of the deployment.
    target : pathlib.Path
        Directory for the copy; created if missing.

    Returns
    -------
    int
        What was added to each port.

    Raises
    ------
    processes.NotReadyError
        If no free area was found.
    """
    files = [path for path in sorted(source.iterdir()) if path.is_file()]
    ports = _ports(path.read_text(encoding="utf-8") for path in files)
    shift = _free_shift(ports)
    target.mkdir(parents=True, exist_ok=True)
    for path in files:
        text = path.read_text(encoding="utf-8")
        (target / path.name).write_text(
            _shifted(text, shift), encoding="utf-8"
        )
    return shift


def _ports(texts: Iterable[str]) -> set[int]:
    return {int(match[2]) for text in texts for match in _PORT.finditer(text)}


def _free_shift(ports: set[int]) -> int:
    lowest, highest = min(ports), max(ports)
    draw = random.SystemRandom()
    for _ in range(TRIES):
        shift = draw.randrange(LOWEST_PORT - lowest, HIGHEST_PORT - highest)
        if not any(
            processes.is_in_use(f"127.0.0.1:{port + shift}") for port in ports
        ):
            return shift
    raise processes.NotReadyError("no area of free ports")


def _shifted(text: str, shift: int) -> str:
    return _PORT.sub(lambda match: f"{match[1]}{int(match[2]) + shift}", text)
