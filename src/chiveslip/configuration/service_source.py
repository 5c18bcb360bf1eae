"""Client of the platform's configuration service, which answers HTTP long polls."""

from __future__ import annotations

from typing import final

from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from chiveslip.configuration.source import ConfigurationSource
from chiveslip.configuration.source import Document
from chiveslip.configuration.source import SourceError
from chiveslip.dispatch.response_end import Ending
from chiveslip.dispatch.response_end import ResponseEnd
from chiveslip.dispatch.response_end import find_document_fault
from chiveslip.dispatch.response_end import parse_framing
from chiveslip.settings.fields import Address

_INDEX_HEADER = "X-Index"
# All values are documents, whatever type the service names.
_CONTENT_TYPE = "application/json"
_MAX_BODY_BYTES = 2 * 1024 * 1024


@final
class ServiceSource(ConfigurationSource):
    """Client of the configuration service.

    A value is at ``/v1/kv/<name>``. With the query parameters ``index`` and ``wait``
    the service answers at the next change, or after the wait.

    Parameters
    ----------
    read_timeout_s
        Time allowed to connect, and to read a value beyond its wait.
    """

    def __init__(self, address: Address, read_timeout_s: float) -> None:
        self._base_url = f"http://{address}/v1/kv/"
        self._read_timeout_s = read_timeout_s
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=16, max_body_size=_MAX_BODY_BYTES
        )

    async def watch(self, name: str, after_index: int, wait_s: float) -> Document:
        """Wait until the index differs from `after_index`; return the value."""
        url = f"{self._base_url}{name}?index={after_index}&wait={wait_s:g}"
        response = await self._get(url, wait_s + self._read_timeout_s)
        index = response.headers.get(_INDEX_HEADER, "")
        if not index.isdigit():
            raise SourceError(
                f"{name}: the response has no numeric {_INDEX_HEADER} header"
            )
        return Document(content=response.body, index=int(index))

    async def read_part(self, digest: str) -> bytes:
        """Return the part whose content hash is `digest`."""
        response = await self._get(
            f"{self._base_url}part/{digest}", self._read_timeout_s
        )
        return response.body

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _get(self, url: str, timeout_s: float) -> HTTPResponse:
        request = HTTPRequest(
            url,
            connect_timeout=self._read_timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request)
        except (HTTPClientError, OSError) as error:
            raise SourceError(f"{url}: {error}") from error
        # Tornado's client takes the end of the connection for the end of the body.
        end = ResponseEnd(
            framing=parse_framing("GET", response.code, response.headers),
            ending=Ending.CLOSE,
            received_bytes=len(response.body),
        )
        fault = find_document_fault(end, _CONTENT_TYPE, response.body)
        if fault is not None:
            raise SourceError(f"{url}: {fault}")
        return response
