"""HTTP client for the operators' addresses of instances."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

_TIMEOUT_S = 3.0
_MAX_BODY_BYTES = 16 << 20


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
    bodies = await fetch_bodies(addresses, path)
    return {address: _parse(address, body) for address, body in bodies.items()}


async def fetch_bodies(
    addresses: list[str], path: str
) -> dict[str, bytes | UnreachableError]:
    """Fetch the body at a path from each address; all are asked at once."""
    client = SimpleAsyncHTTPClient(
        force_instance=True, max_clients=50, max_body_size=_MAX_BODY_BYTES
    )
    try:
        bodies = await asyncio.gather(*(_fetch_one(client, a, path) for a in addresses))
    finally:
        client.close()
    return dict(zip(addresses, bodies, strict=True))


async def _fetch_one(
    client: SimpleAsyncHTTPClient, address: str, path: str
) -> bytes | UnreachableError:
    request = HTTPRequest(
        f"http://{address}{path}",
        request_timeout=_TIMEOUT_S,
        connect_timeout=_TIMEOUT_S,
        follow_redirects=False,
    )
    try:
        return (await client.fetch(request)).body
    except (HTTPClientError, OSError) as error:
        return UnreachableError(f"{address}: {error}")


def _parse(address: str, body: bytes | UnreachableError) -> Any:
    if isinstance(body, UnreachableError):
        return body
    try:
        return json.loads(body)
    except ValueError as error:
        return UnreachableError(f"{address}: {error}")
