"""Copies a deployment to free ports, so that trials can run in parallel."""

from __future__ import annotations

import itertools
import pathlib
import random
import re
import typing

from bench import processes

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

# Below the ports that Linux uses for outgoing connections.
PORTS = range(10_000, 32_000)
_PORT = re.compile(r"(?<=127\.0\.0\.1:)\d+|(?<=\bport: )\d+")


def relocate(source: pathlib.Path, target: pathlib.Path) -> None:
    """Copy the files of a deployment, replacing each port by a free one."""
    free_ports = _free_ports()
    new_by_old: dict[str, str] = {}

    def replace(match: re.Match[str]) -> str:
        port = match.group()
        if port not in new_by_old:
            new_by_old[port] = str(next(free_ports))
        return new_by_old[port]

    target.mkdir()
    for path in sorted(source.iterdir()):
        text = _PORT.sub(replace, path.read_text(encoding="utf-8"))
        (target / path.name).write_text(text, encoding="utf-8")


def _free_ports() -> Iterator[int]:
    first = random.SystemRandom().choice(PORTS)
    for port in itertools.chain(
        range(first, PORTS.stop), range(PORTS.start, first)
    ):
        if not processes.is_in_use(f"127.0.0.1:{port}"):
            yield port
