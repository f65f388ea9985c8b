"""Settings of the memory allocator."""

from __future__ import annotations

import subprocess
import sys

PROGRAM = """
import pathlib
from agatestile.node import allocator
assert allocator.map_large_blocks()
def resident():
    text = pathlib.Path("/proc/self/status").read_text()
    line = next(x for x in text.splitlines() if x.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024
# Released blocks raise the threshold of the unchanged allocator.
for size in (1, 4, 16):
    del (block := bytearray(b"b" * (size << 20)))[:]
before = resident()
blocks = [bytearray(b"b" * (1 << 20)) for _ in range(64)]
last = blocks[-1]
pins = [bytes(600) for _ in range(64)]
blocks.clear()
print(resident() - before)
"""


def test_released_bodies_are_returned_to_the_system() -> None:
    """Guards against memory of past bodies that the process keeps."""
    output = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, check=True
    ).stdout
    assert int(output) < 8 * 1024 * 1024
