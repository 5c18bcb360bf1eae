"""Headers of the platform, read into the gateway's own types."""

from __future__ import annotations

import pytest
from tornado.httputil import HTTPHeaders

from chiveslip.gateway.prompt_parts import PromptPart
from chiveslip.platform.protocol import PlatformProtocol


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        pytest.param("", (), id="no header"),
        pytest.param("5c1e:800", (), id="own part alone"),
        pytest.param("5c1e:800,91bd:410,e440:250", ("5c1e", "91bd"), id="two shared"),
        pytest.param(" 5C1E : 800 , 91bd:1", ("5c1e",), id="spaces and capitals"),
        pytest.param("5c1e,91bd:1", ("5c1e",), id="without tokens"),
        pytest.param(",,91bd:1", (), id="empty ids"),
        pytest.param(
            ",".join(f"{n:x}:1" for n in range(5000)),
            tuple(f"{n:x}" for n in range(256)),
            id="too many",
        ),
    ],
)
def test_shared_parts_are_all_but_the_last_part_of_the_prompt(
    text: str, parts: tuple[str, ...]
) -> None:
    headers = HTTPHeaders({"X-Prompt-Prefix": text})
    assert PlatformProtocol().parse_request(headers).shared_parts == parts


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        pytest.param("", [], id="no header"),
        pytest.param("5c1e:800", [("5c1e", 800)], id="own part alone"),
        pytest.param(
            " 5C1E : 800 ,91bd:1", [("5c1e", 800), ("91bd", 1)], id="spaces, capitals"
        ),
        pytest.param("5c1e:800,91bd,e4:1", [("5c1e", 800)], id="without tokens"),
        pytest.param("5c1e:800,91bd:-4", [("5c1e", 800)], id="negative tokens"),
        pytest.param("5c1e:9999999999,91bd:1", [], id="too long"),
        pytest.param(":800,91bd:1", [], id="empty id"),
    ],
)
def test_parts_are_read_up_to_the_first_unreadable_one(
    text: str, parts: list[tuple[str, int]]
) -> None:
    """Guards against counting on parts behind one whose length is unknown."""
    headers = HTTPHeaders({"X-Prompt-Prefix": text})
    expected = tuple(PromptPart(name, tokens) for name, tokens in parts)
    assert PlatformProtocol().parse_request(headers).prompt_parts == expected
