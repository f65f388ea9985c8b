"""HTTP client of a daemon's admin interface."""

from __future__ import annotations

import typing
import urllib.parse

import httpcore
import msgspec

from agatestile.results import codes
from agatestile.results import outcomes

CONNECT_TIMEOUT = 2.0  # seconds
# Exceeds the time for which a daemon waits for the outcome of an append.
RESPONSE_TIMEOUT = 20.0  # seconds

_DECODER = msgspec.json.Decoder(dict[str, typing.Any])
Answer = dict[str, typing.Any] | outcomes.Refusal


class AdminClient:
    """Sends admin requests, each over its own connection.

    Parameters
    ----------
    address : str
        IP address and port of a daemon's admin interface.
    operator : str
        Name of the operator, which the daemon logs.
    timeout : float
        Longest wait for a response, seconds.
    """

    def __init__(
        self,
        address: str,
        operator: str = "unknown",
        timeout: float = RESPONSE_TIMEOUT,
    ) -> None:
        self._address = address
        self._operator = operator
        self._timeout = timeout

    def status(self) -> Answer:
        """Return the status of every host."""
        return self._request("GET", "status")

    def explain(self, service: str, key: str) -> Answer:
        """Return the owner, gate and leader of a key, with the reason."""
        return self._request("GET", "explain", service=service, key=key)

    def table(self) -> Answer:
        """Return the services table in force and its version."""
        return self._request("GET", "table")

    def confirmations(self, offset: int) -> Answer:
        """Return which hosts have applied the change at an offset."""
        return self._request("GET", "confirmations", offset=str(offset))

    def apply_table(self, table_csv: str, base: str) -> Answer:
        """Replace the services table with one given as CSV."""
        return self._request("POST", "table", table_csv, base=base)

    def set_domain(self, domain: str, state: str) -> Answer:
        """Take a failure domain "out" of service or back "in"."""
        name = urllib.parse.quote(domain, safe="")
        return self._request("POST", f"domains/{name}", state=state)

    def set_host(self, host: str, state: str) -> Answer:
        """Mark a host as "leaving" or "active"."""
        name = urllib.parse.quote(host, safe="")
        return self._request("POST", f"hosts/{name}", state=state)

    def _request(
        self, method: str, path: str, body: str = "", /, **query: str
    ) -> Answer:
        url = f"http://{self._address}/{path}?{urllib.parse.urlencode(query)}"
        try:
            response = httpcore.request(
                method,
                url,
                headers={"x-agatestile-operator": self._operator},
                content=body.encode(),
                extensions={
                    "timeout": {
                        "connect": CONNECT_TIMEOUT,
                        "read": self._timeout,
                        "write": self._timeout,
                        "pool": self._timeout,
                    }
                },
            )
            content = _DECODER.decode(response.content)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return self._transport_failure(
                codes.ResultCode.SERVER_UNREACHABLE, error
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            msgspec.MsgspecError,
        ) as error:
            # Once the request was sent, the change may have been made.
            code = codes.ResultCode.SERVER_UNREACHABLE
            if method == "POST":
                code = codes.ResultCode.LOG_OUTCOME_UNKNOWN
            return self._transport_failure(code, error)
        if response.status == 200:
            return content
        return _parse_refusal(content)

    def _transport_failure(
        self, code: codes.ResultCode, error: Exception
    ) -> outcomes.Refusal:
        detail = f"{type(error).__name__} {error}".rstrip()
        return outcomes.Refusal(code, f"admin {self._address}: {detail}")


def _parse_refusal(content: dict[str, typing.Any]) -> outcomes.Refusal:
    try:
        code = codes.ResultCode(content["code"])
    except (KeyError, ValueError):
        code = codes.ResultCode.OUTCOME_UNKNOWN
    return outcomes.Refusal(
        code, str(content.get("reason", "no reason given"))
    )
