"""Which engine keeps which parts of prompts, as far as this instance can know.

An engine does not prefill a part again that it keeps for the same adapter, if it keeps
all parts before it. No engine tells which parts it keeps. The table has two sources:
the requests that this instance sent, and an order of the engines for each adapter and
its shared parts that all instances derive alike (rendezvous hashing). In a large fleet,
an instance sends a hundredth of the requests, so the order is the main source.

The module is pure: the local time is passed in.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable
from typing import final

import attrs

from chiveslip import hashing
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_view import Adapter

# Entries for each engine; a cache of 100,000 tokens keeps some hundred parts.
_MAX_ENTRIES_PER_ENGINE = 512
_MAX_ENGINES = 1024
# Parts of one prompt that are looked up: later ones are seldom shared.
_MAX_PREFIXES = 8
# Time constant with which own evidence fades, as other requests displace parts.
_RETENTION_S = 10.0
# Share of the shared parts that the first engines of the order keep. 63 to 67 in 100
# are found by the order of the adapter alone.
_ORDER_FOUND_SHARE = 0.65


@attrs.frozen
class PromptPart:
    """A part of a prompt, with its length in tokens."""

    id: str
    tokens: int


@attrs.frozen
class Prefix:
    """The first parts of a prompt.

    Attributes
    ----------
    key
        Identifies the model, the adapter and the parts.
    tokens
        Length of the parts in tokens.
    """

    key: int
    tokens: float


@attrs.frozen(kw_only=True)
class Prompt:
    """What placement knows of a prompt beyond its length.

    Attributes
    ----------
    prefixes
        Its first parts, then these with the next one, and so on.
    shared_tokens
        Length in tokens of the parts that other requests may share.
    order_key
        Names the order of the engines for the adapter and the shared parts, or empty
        if no part is shared.
    """

    prefixes: tuple[Prefix, ...] = ()
    shared_tokens: float = 0.0
    order_key: str = ""


def describe_prompt(
    model: str, adapter: Adapter | None, parts: Iterable[PromptPart]
) -> Prompt:
    """Return the prompt of a request whose last part is its own or its session's."""
    listed = list(parts)
    used = listed[:_MAX_PREFIXES]
    base = f"{model}\x00{adapter}"
    keys = hashing.prefix_keys(base, (part.id for part in used))
    tokens = 0.0
    prefixes = []
    for key, part in zip(keys, used, strict=True):
        tokens += part.tokens
        prefixes.append(Prefix(key, tokens))
    shared = keys[: len(listed) - 1]
    return Prompt(
        prefixes=tuple(prefixes),
        shared_tokens=float(sum(part.tokens for part in listed[:-1])),
        order_key=f"{base}\x00{shared[-1]}" if shared else "",
    )


@attrs.define
class _KeptParts:
    """Prefixes at one start of an engine, the one used last at the end.

    Attributes
    ----------
    used_at
        Local times in seconds at which a request with the prefix was sent or ended.
    """

    started: int
    used_at: collections.OrderedDict[int, float] = attrs.field(
        factory=collections.OrderedDict
    )


@final
class PromptParts:
    """A bounded table of the parts that engines keep, from own requests."""

    def __init__(self) -> None:
        self._engines: collections.OrderedDict[str, _KeptParts] = (
            collections.OrderedDict()
        )

    def record_sent(self, engine: ListedEndpoint, prompt: Prompt, now: float) -> None:
        """Record that an engine is about to prefill a prompt."""
        kept = self._engines.get(engine.id)
        if kept is None or kept.started != engine.started:
            kept = self._engines[engine.id] = _KeptParts(engine.started)
            if len(self._engines) > _MAX_ENGINES:
                self._engines.popitem(last=False)
        for prefix in prompt.prefixes:
            kept.used_at[prefix.key] = now
            kept.used_at.move_to_end(prefix.key)
        while len(kept.used_at) > _MAX_ENTRIES_PER_ENGINE:
            kept.used_at.popitem(last=False)

    def record_end(
        self, engine: ListedEndpoint, prompt: Prompt, now: float, *, has_run: bool
    ) -> None:
        """Record that a request left an engine.

        Parameters
        ----------
        has_run
            Whether the prompt was prefilled. If not, the engine is not known to keep
            any part of it.
        """
        if has_run:
            self.record_sent(engine, prompt, now)
            return
        kept = self._engines.get(engine.id)
        if kept is not None and kept.started == engine.started:
            for prefix in prompt.prefixes:
                kept.used_at.pop(prefix.key, None)

    def forget_engine(self, engine: str) -> None:
        """Record that an engine keeps nothing, because it disappeared or restarted."""
        self._engines.pop(engine, None)

    def cached_tokens(
        self, engine: ListedEndpoint, prompt: Prompt, now: float
    ) -> float:
        """Return how many tokens of a prompt an engine is known to keep."""
        kept = self._engines.get(engine.id)
        if kept is None or kept.started != engine.started:
            return 0.0
        expected = before = 0.0
        probability = 1.0
        for prefix in prompt.prefixes:
            used_at = kept.used_at.get(prefix.key)
            if used_at is None:
                break
            share = math.exp(min(used_at - now, 0.0) / _RETENTION_S)
            probability = min(probability, share)
            expected += (prefix.tokens - before) * probability
            before = prefix.tokens
        return expected

    def evidence_age_s(
        self, engine: ListedEndpoint, prompt: Prompt, now: float
    ) -> float | None:
        """Return how long ago an own request used the first part, None if none did."""
        kept = self._engines.get(engine.id)
        if kept is None or kept.started != engine.started or not prompt.prefixes:
            return None
        used_at = kept.used_at.get(prompt.prefixes[0].key)
        return None if used_at is None else now - used_at


def ordered_tokens(prompt: Prompt) -> float:
    """Return how many tokens the first engines of a prompt's order should keep."""
    return prompt.shared_tokens * _ORDER_FOUND_SHARE


def order_engines(prompt: Prompt, engines: Iterable[str]) -> list[str]:
    """Return engines in the order for the adapter and the shared parts of a prompt.

    All instances order the same engines alike.
    """
    return hashing.rank(prompt.order_key, engines)
