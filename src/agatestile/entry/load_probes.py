"""Probes of the load of the servers that are likely to be chosen."""

from __future__ import annotations

import asyncio
import typing

from agatestile.transport import messages

if typing.TYPE_CHECKING:
    from agatestile.catalog import directory
    from agatestile.entry import request_context

PROBE_SECONDS = 0.03
"""Timeout of a load probe; the response takes 6 ms."""

MAX_PROBE_RESPONSE_BYTES = 64 * 1024
"""Largest body of a response to a probe, bytes; only its head is used."""


async def refresh(
    handler: request_context.SharedState,
    context: request_context.RequestContext,
    tried_ids: set[str],
) -> None:
    """Probe the servers that a request is likely to be sent to.

    Parameters
    ----------
    handler : request_context.SharedState
        State that all requests of the host share.
    context : request_context.RequestContext
        Properties of the request.
    tried_ids : set of str
        Servers that the request was sent to before.
    """
    if context.key is not None:
        return
    now = handler.now()
    entries = handler.fleet.servers_to_probe(
        context.service,
        now,
        context.acceptable_wait(now),
        tried_ids,
        len(context.request.body),
    )
    service = handler.service(context.service)
    if len(entries) < 2 or service is None or not service.health_path:
        return
    async with asyncio.TaskGroup() as tasks:
        for entry in entries:
            tasks.create_task(
                _probe(handler, context.service, entry, service.health_path)
            )


async def _probe(
    handler: request_context.SharedState,
    service: str,
    entry: directory.ServerEntry,
    path: str,
) -> None:
    request = messages.Request(b"GET", path.encode(), [], b"")
    handler.registry.count("probes_total", service=service)
    response = await handler.probe_pool.call(
        entry.address,
        request,
        PROBE_SECONDS,
        (entry.id, entry.incarnation),
        max_body=MAX_PROBE_RESPONSE_BYTES,
    )
    if isinstance(response, messages.Response):
        server_headers = handler.header_format.read_response(response)
        handler.fleet.on_probe_response(entry, server_headers, handler.now())
