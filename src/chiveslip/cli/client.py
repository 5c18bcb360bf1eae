"""Reading of instances' operators' addresses."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

_TIMEOUT_S = 3.0


class UnreachableError(Exception):
    """An instance gave no usable answer."""


def read(addresses: list[str], path: str) -> dict[str, Any]:
    """Return what each address answers, an `UnreachableError` where it fails."""
    return asyncio.run(read_all(addresses, path))


async def read_all(addresses: list[str], path: str) -> dict[str, Any]:
    """Ask all addresses at once."""
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=50)
    try:
        answers = await asyncio.gather(*(_get(client, a, path) for a in addresses))
    finally:
        client.close()
    return dict(zip(addresses, answers, strict=True))


async def _get(client: SimpleAsyncHTTPClient, address: str, path: str) -> Any:
    request = HTTPRequest(
        f"http://{address}{path}",
        request_timeout=_TIMEOUT_S,
        connect_timeout=_TIMEOUT_S,
        follow_redirects=False,
    )
    try:
        response = await client.fetch(request)
        return json.loads(response.body)
    except (HTTPClientError, OSError, ValueError) as error:
        return UnreachableError(f"{address}: {error}")
