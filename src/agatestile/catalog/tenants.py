"""Tenants of a configuration, found by the API keys of their callers."""

from __future__ import annotations

import typing


class Tenant(typing.NamedTuple):
    """A group of callers with API keys of its own.

    Attributes
    ----------
    name : str
        Name, which servers receive instead of the API key.
    priority : int or None
        Priority of its requests, which replaces that of the route; None to
        keep that of the route.
    rate : float
        Requests per second of all hosts together, 0 for no limit.
    burst : float
        Requests that are allowed in addition at once.
    invalid_reason : str
        Why the entry cannot be used, empty for a valid one. Its requests are
        refused.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    invalid_reason: str = ""


class Tenants(typing.NamedTuple):
    """Tenants of one version of the configuration.

    Attributes
    ----------
    by_key : dict of bytes to Tenant
        Tenant by API key.
    by_name : dict of str to Tenant
        Tenant by name.
    ambiguous_keys : frozenset of bytes
        API keys of more than one tenant. Whose requests they are is unknown.
    is_complete : bool
        Whether all entries could be read, so that another key certainly
        belongs to no tenant.
    """

    by_key: dict[bytes, Tenant]
    by_name: dict[str, Tenant]
    ambiguous_keys: frozenset[bytes] = frozenset()
    is_complete: bool = True

    @classmethod
    def from_entries(
        cls,
        entries: typing.Iterable[tuple[Tenant, typing.Iterable[str]]],
        *,
        is_complete: bool = True,
    ) -> Tenants:
        """Index tenants by their keys.

        Parameters
        ----------
        entries : iterable of (Tenant, iterable of str)
            Tenants with their API keys.
        is_complete : bool
            Whether these are all tenants.
        """
        by_key: dict[bytes, Tenant] = {}
        by_name: dict[str, Tenant] = {}
        ambiguous = set()
        for tenant, keys in entries:
            by_name[tenant.name] = tenant
            for text in keys:
                key = text.encode()
                known = by_key.setdefault(key, tenant)
                if known.name != tenant.name:
                    ambiguous.add(key)
        for key in ambiguous:
            del by_key[key]
        return cls(by_key, by_name, frozenset(ambiguous), is_complete)
