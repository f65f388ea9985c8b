"""Newest configurations as stored, for relaying them as differences."""

from __future__ import annotations

import typing

import zstandard

RETAINED_VERSIONS = 4
"""Number of configurations that are kept as a base for differences."""

MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024
"""Largest configuration that a patch may expand to, bytes."""

COMPRESSION_LEVEL = 3

NO_VERSION = -1


class ConfigurationPatch(typing.NamedTuple):
    """A configuration, compressed against another one.

    Attributes
    ----------
    base_version : int
        Version that the patch applies to, `NO_VERSION` if to none.
    content : bytes
        Compressed configuration.
    """

    base_version: int
    content: bytes


class ConfigurationHistory:
    """Keeps the newest configurations and creates patches between them.

    Attributes
    ----------
    version : int
        Newest version, `NO_VERSION` before the first.
    """

    def __init__(self) -> None:
        self.version = NO_VERSION
        self._content_by_version: dict[int, bytes] = {}
        self._patches_by_base: dict[int, ConfigurationPatch] = {}

    def add(self, version: int, content: bytes) -> None:
        """Add a configuration that is newer than all others."""
        self.version = version
        self._content_by_version[version] = content
        self._patches_by_base.clear()
        while len(self._content_by_version) > RETAINED_VERSIONS:
            del self._content_by_version[min(self._content_by_version)]

    def newest_size(self) -> int:
        """Return the size of the newest configuration, bytes."""
        return len(self._content_by_version.get(self.version, b""))

    def patch_from(self, base_version: int) -> ConfigurationPatch | None:
        """Return the newest configuration as a patch for another version.

        Returns
        -------
        ConfigurationPatch or None
            None if that version is not older. The patch needs no base if
            that version is no longer kept.
        """
        if base_version >= self.version:
            return None
        base = self._content_by_version.get(base_version)
        if base is None:
            base_version = NO_VERSION
        patch = self._patches_by_base.get(base_version)
        if patch is None:
            compressor = zstandard.ZstdCompressor(
                level=COMPRESSION_LEVEL, dict_data=_dictionary(base)
            )
            patch = ConfigurationPatch(
                base_version,
                compressor.compress(self._content_by_version[self.version]),
            )
            self._patches_by_base[base_version] = patch
        return patch

    def apply(self, patch: ConfigurationPatch) -> bytes | str:
        """Return the configuration of a patch, or why it can't be read."""
        base = self._content_by_version.get(patch.base_version)
        if base is None and patch.base_version != NO_VERSION:
            return f"version {patch.base_version} is not known"
        decompressor = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
        try:
            size = zstandard.frame_content_size(patch.content)
            if size > MAX_CONFIGURATION_BYTES:
                return f"the configuration of {size} bytes is too large"
            return decompressor.decompress(
                patch.content, max_output_size=MAX_CONFIGURATION_BYTES
            )
        except zstandard.ZstdError as error:
            return str(error)


def _dictionary(
    base: bytes | None,
) -> zstandard.ZstdCompressionDict | None:
    if base is None:
        return None
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
