"""The platform's store: HTTP calls and their JSON bodies."""

from __future__ import annotations

import base64
import binascii
from typing import Any
from typing import final
from urllib.parse import urlencode

from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.engines.protocol import OutgoingRequest
from chiveslip.platform import fields
from chiveslip.platform.fields import UnreadableError
from chiveslip.settings.fields import Address
from chiveslip.store.client import Changes
from chiveslip.store.client import HistoryLostError
from chiveslip.store.client import Item
from chiveslip.store.client import KeyValueStore
from chiveslip.store.client import StoreError

# One watch over all keys costs half of the calls of one for each prefix.
_ALL = ""
_MOST_BYTES = 16 << 20
_GONE = 410


@final
class PlatformStore(KeyValueStore):
    """Reads the platform's store.

    Parameters
    ----------
    timeout_s
        Time in seconds for an answer, beyond the wait of a watch.
    """

    def __init__(
        self, connector: Connector, address: Address, timeout_s: float
    ) -> None:
        self._connector = connector
        self._address = address
        self._timeout_s = timeout_s

    async def read_all(self) -> Changes:
        """Return all items, page by page."""
        items: list[Item] = []
        revision: int | None = None
        after = ""
        while True:
            query = {"prefix": _ALL} | ({"after": after} if after else {})
            page = await self._get("/chiveslip/kv-range", query, 0.0)
            # Pages are no snapshot: what changes meanwhile comes by the watch that
            # goes on from the first page's revision.
            if revision is None:
                revision = _revision(page)
            read = [_item(item) for item in _objects(page, "items")]
            items += read
            if not page.get("has_more") or not read:
                return Changes(items=items, revision=revision)
            after = read[-1].key

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Return what changed after a revision."""
        query = {"prefix": _ALL, "after": after, "wait_ms": int(wait_s * 1000)}
        found = await self._get("/chiveslip/kv-watch", query, wait_s)
        items = [_item(event) for event in _objects(found, "events")]
        return Changes(items=items, revision=_revision(found))

    async def _get(
        self, path: str, query: dict[str, Any], wait_s: float
    ) -> dict[str, Any]:
        outgoing = OutgoingRequest(method="GET", path=f"{path}?{urlencode(query)}")
        try:
            exchange = await self._connector.open(self._address, fresh=False)
        except ConnectError as error:
            raise StoreError(str(error)) from error
        try:
            await exchange.send(outgoing)
            head = await exchange.head(wait_s + self._timeout_s)
            body = await exchange.body(_MOST_BYTES, self._timeout_s)
        except ExchangeInterruptedError as error:
            raise StoreError(f"{path}: {error}") from error
        finally:
            exchange.close()
        if head.status == _GONE:
            raise HistoryLostError(f"{path}: history is gone")
        if head.status != 200:
            raise StoreError(f"{path}: status {head.status}")
        try:
            return fields.parse_object(body)
        except UnreadableError as error:
            raise StoreError(f"{path}: {error}") from error


def _objects(found: dict[str, Any], name: str) -> list[dict[str, Any]]:
    try:
        return fields.objects(found, name)
    except UnreadableError as error:
        raise StoreError(str(error)) from error


def _revision(found: dict[str, Any]) -> int:
    try:
        # The revision of the whole store, not of an item.
        return int(fields.number(found, "store_revision"))
    except UnreadableError as error:
        raise StoreError(str(error)) from error


def _item(found: dict[str, Any]) -> Item:
    try:
        key = fields.text(found, "key")
        revision = int(fields.number(found, "revision"))
    except UnreadableError as error:
        raise StoreError(str(error)) from error
    if found.get("removed"):
        return Item(key=key, value=None, revision=revision)
    try:
        value = base64.b64decode(str(found.get("value", "")), validate=True)
    except (binascii.Error, ValueError):
        # The key stays known; whoever reads the value finds that it is unreadable.
        value = b""
    return Item(key=key, value=value, revision=revision)
