"""Waits of requests for endpoints whose limits are used up.

Loads beside a limit vary, so a short wait serves requests that come in a bunch. More
than the limits together is refused at once by those that wait longer.
"""

from __future__ import annotations

import asyncio

from chiveslip.clock import Clock
from chiveslip.gateway.call import Call
from chiveslip.gateway.endpoints import EndpointDirectory
from chiveslip.gateway.endpoints import ListedEndpoint

_MAX_WAIT_S = 0.1
# A request that has less than this many times the wait left does not wait.
_MIN_REMAINING_WAITS = 3.0


async def find_available_soon(
    directory: EndpointDirectory, call: Call, clock: Clock
) -> list[ListedEndpoint]:
    """Return the endpoints that a request may be sent to, after a wait if need be.

    Returns
    -------
    list
        Empty if none becomes available soon.
    """
    allowed = call.allowed_regions
    available = directory.find_available(call.service, allowed)
    if available:
        return available
    wait_s = directory.spent_s(call.service, allowed)
    left_s = call.first_event_deadline - clock.now()
    is_short = 0 < wait_s <= _MAX_WAIT_S and wait_s * _MIN_REMAINING_WAITS < left_s
    if not is_short:
        return []
    await asyncio.sleep(wait_s)
    return directory.find_available(call.service, allowed)
