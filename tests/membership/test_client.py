"""Membership client while the service lags or is unavailable."""

from __future__ import annotations

import anyio
import httpcore
import pytest

from agatestile.membership import client
from standins import membership
from standins import serving

pytestmark = pytest.mark.anyio

ENTRIES = [
    membership.Entry(name, "radom", f"{ip}:1", f"{ip}:2", f"{ip}:3")
    for name, ip in (("e1", "127.0.0.1"), ("e2", "127.0.0.2"))
]


async def test_last_list_is_kept_while_the_service_is_down() -> None:
    """Guards against losing known hosts during an outage of the service."""
    service = membership.Membership(list(ENTRIES))
    async with serving.running(service) as port:
        hosts = client.MembershipClient(f"http://127.0.0.1:{port}")
        assert await hosts.poll()
        service.outage = True
        assert not await hosts.poll()
        assert set(hosts.members_by_host) == {"e1", "e2"}
        await hosts.close()
    assert not await hosts.poll()
    assert hosts.members_by_host["e2"].forward == "127.0.0.2:2"


async def test_change_of_state_is_shown_after_the_lag() -> None:
    """Guards against a stand-in that shows changes without the lag."""
    service = membership.Membership(list(ENTRIES), lag=0.1)
    async with (
        serving.running(service) as port,
        httpcore.AsyncConnectionPool() as pool,
    ):
        hosts = client.MembershipClient(f"http://127.0.0.1:{port}")
        response = await pool.request(
            "POST",
            f"http://127.0.0.1:{port}/control",
            content=b'{"states": {"e1": "leaving", "e2": "absent"}}',
        )
        assert response.status == 200
        assert await hosts.poll() and len(hosts.members_by_host) == 2
        await anyio.sleep(0.15)
        assert await hosts.poll()
        assert set(hosts.members_by_host) == {"e1"}
        assert hosts.members_by_host["e1"].state == "leaving"
        await hosts.close()
