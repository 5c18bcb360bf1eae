"""Client of the platform's key-value store, which is read as JSON over HTTP."""

from __future__ import annotations

import asyncio
import base64
import binascii
from typing import Any
from typing import final
from urllib.parse import urlencode

from chiveslip import logs
from chiveslip.dispatch.connection import ConnectError
from chiveslip.dispatch.connection import Connector
from chiveslip.dispatch.connection import Exchange
from chiveslip.dispatch.connection import ExchangeInterruptedError
from chiveslip.dispatch.connection import ResponseHead
from chiveslip.dispatch.outgoing import OutgoingRequest
from chiveslip.dispatch.response_end import find_document_fault
from chiveslip.dispatch.response_limits import ResponseLimits
from chiveslip.platform import fields
from chiveslip.platform.fields import UnreadableError
from chiveslip.settings.fields import Address
from chiveslip.store.client import Changes
from chiveslip.store.client import HistoryLostError
from chiveslip.store.client import Item
from chiveslip.store.client import KeyValueStore
from chiveslip.store.client import StoreError
from chiveslip.store.client import StoreRevision

# One watch of all keys needs half as many requests as a watch per prefix.
_ALL_KEYS_PREFIX = ""
_MAX_BODY_BYTES = 16 << 20
_MAX_PAGES = 2000
# A page of 1 MB takes most of a second on a link of 10 Mbit/s that carries other data.
_MIN_BYTES_PER_S = 50_000
_STATUS_GONE = 410
_ERA_HEADER = "Store-Era"


@final
class PlatformStore(KeyValueStore):
    """Reads the platform's store over HTTP.

    Parameters
    ----------
    timeout_s
        Maximum wait in seconds for the head of a response, in addition to the wait of a
        watch, and for its body if it comes more slowly than `_MIN_BYTES_PER_S`.
    """

    def __init__(
        self, connector: Connector, address: Address, timeout_s: float
    ) -> None:
        self._connector = connector
        self._address = address
        self._timeout_s = timeout_s
        self._log = logs.get_logger("store")

    async def read_all(self) -> Changes:
        """Return all items, read page by page."""
        items: list[Item] = []
        revision: StoreRevision | None = None
        last_key = ""
        for _ in range(_MAX_PAGES):
            query = {"prefix": _ALL_KEYS_PREFIX} | (
                {"after": last_key} if last_key else {}
            )
            page, era = await self._get("/chiveslip/kv-range", query, 0.0)
            # The pages are not one snapshot. A change between two pages is received
            # by the watch, which continues from the revision of the first page.
            if revision is None:
                revision = _read_revision(page, era)
            if era != revision.era:
                raise StoreError(
                    f"a page of era {era} follows one of era {revision.era}"
                )
            documents = _read_objects(page, "items")
            items += self._read_items(documents, era)
            if not page.get("has_more") or not documents:
                return Changes(items=items, revision=revision)
            page_key = documents[-1].get("key")
            if not isinstance(page_key, str) or page_key <= last_key:
                raise StoreError(
                    f"the page after key {last_key!r} does not end at a later key"
                )
            last_key = page_key
        raise StoreError(f"the store has more than {_MAX_PAGES} pages of items")

    async def watch(self, after_revision: StoreRevision, wait_s: float) -> Changes:
        """Return the changes after a revision."""
        query = {
            "prefix": _ALL_KEYS_PREFIX,
            "after": after_revision.number,
            "wait_ms": int(wait_s * 1000),
        }
        document, era = await self._get("/chiveslip/kv-watch", query, wait_s)
        if era > after_revision.era:
            raise HistoryLostError(
                f"the store is in era {era}; expected era {after_revision.era}"
            )
        if era < after_revision.era:
            raise StoreError(
                f"an answer of era {era} came late; expected era {after_revision.era}"
            )
        items = self._read_items(_read_objects(document, "events"), era)
        return Changes(items=items, revision=_read_revision(document, era))

    def _read_items(self, documents: list[dict[str, Any]], era: int) -> list[Item]:
        """Return the items that can be read; one that cannot affects no other."""
        items: list[Item] = []
        for document in documents:
            try:
                items.append(_read_item(document, era))
            except UnreadableError as error:
                self._log.warning("Unreadable store item.", cause=str(error))
        return items

    async def _get(
        self, path: str, query: dict[str, Any], wait_s: float
    ) -> tuple[dict[str, Any], int]:
        outgoing = OutgoingRequest(method="GET", path=f"{path}?{urlencode(query)}")
        try:
            exchange = await self._connector.open(self._address, fresh=False)
        except ConnectError as error:
            raise StoreError(str(error)) from error
        try:
            await exchange.send(
                outgoing,
                ResponseLimits(
                    max_s=wait_s + self._max_body_s(_MAX_BODY_BYTES),
                    max_body_bytes=_MAX_BODY_BYTES,
                ),
            )
            head = await exchange.head(wait_s + self._timeout_s)
            body = await self._read_body(exchange, head)
        except ExchangeInterruptedError as error:
            raise StoreError(f"{path}: {error}") from error
        finally:
            exchange.close()
        if head.status == _STATUS_GONE:
            raise HistoryLostError(
                f"{path}: the changes after the requested revision are gone"
            )
        if head.status != 200:
            raise StoreError(f"{path}: expected status 200, received {head.status}")
        try:
            return fields.parse_object(body), _read_era(head)
        except UnreadableError as error:
            raise StoreError(f"{path}: {error}") from error

    async def _read_body(self, exchange: Exchange, head: ResponseHead) -> bytes:
        """Return the body of a response that comes fast enough.

        A total time would cut whole pages on a slow link, each time anew.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        body = bytearray()
        async for chunk in exchange.chunks(self._timeout_s):
            body += chunk
            took_s = loop.time() - started_at
            if took_s > self._max_body_s(len(body)):
                raise ExchangeInterruptedError(
                    f"{len(body)} bytes took {took_s:.2f} s; expected at least "
                    f"{_MIN_BYTES_PER_S} bytes a second"
                )
        assert exchange.end is not None
        content_type = head.headers.get("Content-Type", "")
        fault = find_document_fault(exchange.end, content_type, bytes(body))
        if fault is not None:
            raise ExchangeInterruptedError(fault)
        return bytes(body)

    def _max_body_s(self, received: int) -> float:
        return self._timeout_s + received / _MIN_BYTES_PER_S


def _read_era(head: ResponseHead) -> int:
    """Return the store's era; an answer without the header is of era 0."""
    text = head.headers.get(_ERA_HEADER, "0")
    try:
        return fields.parse_count(text)
    except UnreadableError as error:
        raise UnreadableError(f"{_ERA_HEADER}: {error}") from error


def _read_objects(document: dict[str, Any], name: str) -> list[dict[str, Any]]:
    try:
        return fields.read_objects(document, name)
    except UnreadableError as error:
        raise StoreError(str(error)) from error


def _read_revision(document: dict[str, Any], era: int) -> StoreRevision:
    try:
        # Revision of the whole store, not of one item.
        number = fields.read_count(document, "store_revision")
        return StoreRevision(era, number)
    except UnreadableError as error:
        raise StoreError(str(error)) from error


def _read_item(document: dict[str, Any], era: int) -> Item:
    key = fields.read_string(document, "key")
    revision = StoreRevision(era, fields.read_count(document, "revision"))
    if document.get("removed"):
        return Item(key=key, value=None, revision=revision)
    try:
        value = base64.b64decode(str(document.get("value", "")), validate=True)
    except (binascii.Error, ValueError):
        # Keep the key with an empty value, which its parser reports as unreadable.
        value = b""
    return Item(key=key, value=value, revision=revision)
