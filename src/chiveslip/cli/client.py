"""HTTP client for the operators' addresses of instances."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

_TIMEOUT_S = 3.0


class UnreachableError(Exception):
    """An instance did not answer, or answered with an error or without JSON."""


def fetch(addresses: list[str], path: str) -> dict[str, Any]:
    """Fetch the JSON value at a path from each address, and wait for all of them.

    Returns
    -------
    dict
        The value by address; an `UnreachableError` where the request failed.
    """
    return asyncio.run(fetch_all(addresses, path))


async def fetch_all(addresses: list[str], path: str) -> dict[str, Any]:
    """Fetch like `fetch`, from a coroutine; all addresses are asked at once."""
    client = SimpleAsyncHTTPClient(force_instance=True, max_clients=50)
    try:
        answers = await asyncio.gather(
            *(_fetch_one(client, a, path) for a in addresses)
        )
    finally:
        client.close()
    return dict(zip(addresses, answers, strict=True))


async def _fetch_one(client: SimpleAsyncHTTPClient, address: str, path: str) -> Any:
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
