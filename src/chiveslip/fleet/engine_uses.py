"""Wire format of the uses of engines, in gossip and in the call `Uses`."""

from __future__ import annotations

import functools
from collections.abc import Iterable

from chiveslip.fleet.gossip_updates import EngineUseUpdate
from chiveslip.generated import peer_pb2 as wire

# Every report of an engine repeats the names of its adapters. The cache has room for
# all adapters that the engines of a large fleet hold.
_MAX_CACHED_ADAPTER_NAMES = 4096


def encode_uses(uses: Iterable[EngineUseUpdate]) -> list[wire.EngineUse]:
    """Return the messages for uses of engines."""
    return [
        wire.EngineUse(
            endpoint=use.engine,
            requests=use.requests,
            unread_tokens=use.pending_prefill_tokens,
            adapters=[format_adapter(adapter) for adapter in use.adapters],
        )
        for use in uses
    ]


def decode_uses(messages: Iterable[wire.EngineUse]) -> list[EngineUseUpdate]:
    """Return the uses of engines in messages."""
    return [
        EngineUseUpdate(
            engine=use.endpoint,
            requests=use.requests,
            pending_prefill_tokens=use.unread_tokens,
            adapters=frozenset(map(parse_adapter, use.adapters)),
        )
        for use in messages
    ]


def format_adapter(adapter: tuple[str, int]) -> str:
    """Return the name and version of an adapter as they are sent."""
    return f"{adapter[0]}@{adapter[1]}"


@functools.lru_cache(maxsize=_MAX_CACHED_ADAPTER_NAMES)
def parse_adapter(text: str) -> tuple[str, int]:
    """Return the name and version of an adapter; version 0 if there is none."""
    name, _, version = text.rpartition("@")
    is_version = version.isascii() and version.isdigit()
    return (name, int(version)) if is_version else (text, 0)
