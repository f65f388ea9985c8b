"""Keys of stored records, which differ between eras of the store.

The condition of an append proves nothing once the store was restored, as
offsets are assigned again. An append that was delayed into a later era can
therefore be carried out there. It writes keys of its own era, so that it
replaces no record of the later one.
"""

from __future__ import annotations

import typing

FIRST_ERA = 1
"""Era up to which keys don't name it, as in a store that names no era."""

_PREFIX = "era/"


class StoredKey(typing.NamedTuple):
    """Key of a stored record.

    Attributes
    ----------
    era : int
        Era of the store that the writer had read; `FIRST_ERA` if the key
        names none, as those of earlier releases do in any era.
    name : str
        Key within the records of the era.
    """

    era: int
    name: str

    @classmethod
    def parse(cls, text: str) -> StoredKey:
        """Return the parts of a key; other keys belong to the first era."""
        if text.startswith(_PREFIX):
            era, separator, name = text.removeprefix(_PREFIX).partition("/")
            if separator and era.isascii() and era.isdigit():
                return cls(int(era), name)
        return cls(FIRST_ERA, text)

    @property
    def names_era(self) -> bool:
        """Whether the text of the key names the era."""
        return self.era > FIRST_ERA

    def format(self) -> str:
        """Return the key as it is stored."""
        if not self.names_era:
            return self.name
        return f"{_PREFIX}{self.era}/{self.name}"
