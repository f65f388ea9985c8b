"""Log lines of routing decisions."""

from __future__ import annotations

import logging
import typing

from agatestile.gateway import clock
from agatestile.results import codes

if typing.TYPE_CHECKING:
    from agatestile.gateway import calls
    from agatestile.results import outcomes

LOG = logging.getLogger(__name__)

_CODES = codes.ResultCode


def log(
    role: str,
    call: calls.Call | None,
    refusal: outcomes.Refusal | None,
    started: float,
) -> None:
    """Log how a request was routed and how it ended.

    Parameters
    ----------
    role : str
        Role of this host for the request: "entry" or "gate".
    call : calls.Call or None
        The request, None if it was refused before it was parsed.
    refusal : outcomes.Refusal or None
        Why it was refused, None if it was answered.
    started : float
        Clock of the event loop when the request arrived, seconds.
    """
    if not LOG.isEnabledFor(logging.INFO):
        return
    if refusal is None:
        code, reason = _CODES.ANSWERED, "answered"
    else:
        code, reason = refusal
    elapsed_ms = (clock.now() - started) * 1000.0
    if call is None:
        LOG.info("route: %s - code=%d %s: %s", role, code, code.name, reason)
        return
    LOG.info(
        "route: %s %s position=%d server=%s gate=%s code=%d %s run=%s "
        "ms=%.1f: %s",
        role,
        call.request.service,
        call.position,
        call.server or "-",
        call.gate or "-",
        code,
        code.name,
        call.run_state,
        elapsed_ms,
        reason,
    )
