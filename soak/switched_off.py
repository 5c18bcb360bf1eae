"""Run a gateway with one mechanism switched off, to show that the soak finds it.

``python -m soak.switched_off NAME`` takes the settings as the gateway itself does.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from chiveslip.dispatch.held_bytes import HeldBytes
from chiveslip.gateway import sending
from chiveslip.gateway.caller_stream import CallerStream
from chiveslip.gateway.catalogue import Catalogue
from chiveslip.gateway.endpoint_limits import EndpointLimits
from chiveslip.gateway.endpoint_statements import EndpointStatements
from chiveslip.gateway.paths import EndpointPaths
from chiveslip.gateway.rooms import EndpointRooms
from chiveslip.platform.main import main


def _returns(value: Any) -> Callable[..., Any]:
    """Return a method that does nothing but return a value."""
    return lambda *_, **__: value


# Where a mechanism is replaced: objects, names of their attributes, and new values.
SWITCHES: dict[str, list[tuple[object, str, Any]]] = {
    "leaving": [(EndpointStatements, "is_leaving", _returns(False))],
    "rest": [(EndpointStatements, "rest_s", _returns(0.0))],
    "limits": [(EndpointLimits, "find", _returns(None))],
    "shares": [(EndpointRooms, "has_room", _returns(True))],
    "handover": [(EndpointPaths, "is_cut", _returns(False))],
    "removals": [(Catalogue, "remove_endpoint", _returns(None))],
    "failures": [
        (sending, "_MAX_FAILURE_BYTES", 64 << 20),
        (HeldBytes, "add", _returns(None)),
    ],
    "callers": [(CallerStream, "_count", _returns(None))],
}


def switch_off(name: str) -> None:
    """Have a mechanism do nothing."""
    for replacement in SWITCHES[name]:
        setattr(*replacement)


if __name__ == "__main__":
    switch_off(sys.argv[1])
    main()
