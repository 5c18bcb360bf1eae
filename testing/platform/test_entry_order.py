"""Which of two values of an entry holds after the store returned from a copy."""

from __future__ import annotations

import json

import pytest

from chiveslip.platform.entry_order import choose_value


def replica(*, born: int, state: str = "ready") -> bytes:
    entry = {"service": "llm", "address": "10.0.0.9:80", "state": state, "born": born}
    return json.dumps(entry).encode()


def configuration(version: int) -> bytes:
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


def adapter(version: int) -> bytes:
    return json.dumps({"model": "m", "adapter": "a", "version": version}).encode()


READY, RESTARTED = replica(born=5), replica(born=6)
DRAINING = replica(born=5, state="draining")
UNREADABLE = b"\x00"


@pytest.mark.parametrize(
    ("key", "known", "copy", "expected"),
    [
        pytest.param(
            "op/config", configuration(9), configuration(7), 0, id="config-older"
        ),
        pytest.param(
            "op/config", configuration(9), configuration(11), 1, id="config-newer"
        ),
        pytest.param("op/config", configuration(9), None, 0, id="config-missing"),
        pytest.param("op/config", configuration(9), UNREADABLE, 0, id="config-spoilt"),
        pytest.param("op/config", UNREADABLE, configuration(7), 1, id="config-unknown"),
        pytest.param("op/version/m.a", adapter(3), adapter(2), 0, id="version-older"),
        pytest.param("op/version/m.a", adapter(3), adapter(4), 1, id="version-newer"),
        pytest.param("op/version/m.a", adapter(3), None, 0, id="version-missing"),
        pytest.param("op/evacuate/z", b"{}", None, 0, id="evacuated-after-the-copy"),
        pytest.param("op/evacuate/z", None, b"{}", 0, id="revoked-after-the-copy"),
        pytest.param("op/evacuate/z", UNREADABLE, b"{}", 0, id="evacuated-anyhow"),
        pytest.param("servers/i", DRAINING, READY, 0, id="leaving-is-final"),
        pytest.param("servers/i", READY, DRAINING, 1, id="leaving-is-new"),
        pytest.param("servers/i", DRAINING, RESTARTED, 1, id="started-again"),
        pytest.param("servers/i", RESTARTED, READY, 0, id="earlier-start"),
        pytest.param("servers/i", READY, None, 1, id="registered-after-the-copy"),
        pytest.param("servers/i", None, READY, 0, id="removed-after-the-copy"),
        pytest.param("servers/i", UNREADABLE, READY, 1, id="unreadable-before"),
        pytest.param("other/key", b"2", b"1", 1, id="other-key"),
    ],
)
def test_what_is_known_does_not_go_back(
    key: str, known: bytes | None, copy: bytes | None, expected: int
) -> None:
    assert choose_value(key, known, copy) == (known, copy)[expected]
