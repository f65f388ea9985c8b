"""Recent versions of a content, for relaying it to other hosts as patches."""

from __future__ import annotations

import typing

import zstandard

MAX_CONTENT_BYTES = 4 * 1024 * 1024
"""Largest content that a patch may expand to, bytes."""

COMPRESSION_LEVEL = 3

NO_VERSION = -1


class ContentPatch(typing.NamedTuple):
    """A version of a content, compressed against an earlier one.

    Attributes
    ----------
    base_version : int
        Version that the patch applies to, `NO_VERSION` if to none.
    content : bytes
        Compressed content.
    """

    base_version: int
    content: bytes


class ContentHistory:
    """Keeps the newest versions of a content and creates patches between them.

    Parameters
    ----------
    retained_versions : int
        Number of versions that are kept as bases of patches.

    Attributes
    ----------
    version : int
        Newest version, `NO_VERSION` before the first.
    """

    def __init__(self, retained_versions: int) -> None:
        self._retained_versions = retained_versions
        self.version = NO_VERSION
        self._content_by_version: dict[int, bytes] = {}
        self._patches_by_base: dict[int, ContentPatch] = {}

    def add(self, version: int, content: bytes) -> None:
        """Add a version that is newer than all others."""
        self.version = version
        self._content_by_version[version] = content
        self._patches_by_base.clear()
        while len(self._content_by_version) > self._retained_versions:
            del self._content_by_version[min(self._content_by_version)]

    def newest_size(self) -> int:
        """Return the size of the newest version, bytes."""
        return len(self._content_by_version.get(self.version, b""))

    def patch_from(self, base_version: int) -> ContentPatch | None:
        """Return the newest version as a patch for another one.

        Returns
        -------
        ContentPatch or None
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
                level=COMPRESSION_LEVEL,
                dict_data=_dictionary(base),
                write_checksum=True,
            )
            patch = ContentPatch(
                base_version,
                compressor.compress(self._content_by_version[self.version]),
            )
            self._patches_by_base[base_version] = patch
        return patch

    def apply(self, patch: ContentPatch) -> bytes | str:
        """Return the content of a patch, or why it can't be read."""
        base = self._content_by_version.get(patch.base_version)
        if base is None and patch.base_version != NO_VERSION:
            return f"version {patch.base_version} is not known"
        decompressor = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
        try:
            size = zstandard.frame_content_size(patch.content)
            if size > MAX_CONTENT_BYTES:
                return f"the content of {size} bytes is too large"
            return decompressor.decompress(
                patch.content, max_output_size=MAX_CONTENT_BYTES
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
