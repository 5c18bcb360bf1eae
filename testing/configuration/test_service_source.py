"""Responses of the configuration service that are cut or do not end."""

from __future__ import annotations

import asyncio

import pytest

from chiveslip.configuration.service_source import ServiceSource
from chiveslip.configuration.source import SourceError
from testing.raw_endpoint import CLOSE
from testing.raw_endpoint import RESET
from testing.raw_endpoint import Endless
from testing.raw_endpoint import StartEndpoint
from testing.raw_endpoint import Step

pytestmark = pytest.mark.xdist_group("sockets")

READ_TIMEOUT_S = 0.3
MAX_READ_S = READ_TIMEOUT_S + 0.5
HEAD = b"HTTP/1.1 200 OK\r\nX-Index: 7\r\n"
DOCUMENT = b'{"revision": 3, "parts": {"routes": "a1"}}'


@pytest.mark.parametrize("end", [CLOSE, RESET], ids=["closed", "reset"])
async def test_document_without_length_that_is_cut_is_read_again(
    start_endpoint: StartEndpoint, end: Step
) -> None:
    """Its index would be taken for read, and the change be missed."""
    for size in range(len(DOCUMENT)):
        endpoint = await start_endpoint([HEAD + b"\r\n" + DOCUMENT[:size], end])
        source = ServiceSource(endpoint.address, READ_TIMEOUT_S)
        with pytest.raises(SourceError):
            await source.watch("manifest", 6, 0.0)
        await source.close()


async def test_whole_document_without_length_is_read(
    start_endpoint: StartEndpoint,
) -> None:
    endpoint = await start_endpoint([HEAD + b"\r\n" + DOCUMENT, CLOSE])
    source = ServiceSource(endpoint.address, READ_TIMEOUT_S)
    document = await source.watch("manifest", 6, 0.0)
    assert (document.content, document.index) == (DOCUMENT, 7)
    await source.close()


@pytest.mark.parametrize(
    "script",
    [
        pytest.param([HEAD, Endless(part=b"A: b\r\n", interval_s=0.05)], id="head"),
        pytest.param(
            [HEAD + b"\r\n{", Endless(part=b" ", interval_s=0.05)], id="slow-unframed"
        ),
        pytest.param([HEAD + b"\r\n{", Endless(part=b" " * 65536)], id="unframed"),
        pytest.param(
            [
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
                Endless(part=b"1\r\n \r\n", interval_s=0.05),
            ],
            id="slow-chunks",
        ),
    ],
)
async def test_endless_document_is_given_up(
    start_endpoint: StartEndpoint, script: list[Step]
) -> None:
    endpoint = await start_endpoint(script)
    source = ServiceSource(endpoint.address, READ_TIMEOUT_S)
    async with asyncio.timeout(MAX_READ_S):
        with pytest.raises(SourceError):
            await source.watch("manifest", 6, 0.0)
    await source.close()
