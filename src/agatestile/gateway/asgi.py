"""Type aliases of the ASGI interface."""

from __future__ import annotations

import collections.abc
import typing

Message = typing.MutableMapping[str, typing.Any]
Scope = typing.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]
Headers = list[tuple[bytes, bytes]]
