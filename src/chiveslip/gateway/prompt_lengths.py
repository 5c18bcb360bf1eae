"""What a prompt costs at an engine: its own wait, and the delay of the requests there.

An engine prefills prompts in chunks between the tokens that it decodes, so a prompt
waits for the prompts before it and slows the streams that run. The module is pure.
"""

from __future__ import annotations

import math

import attrs

# Time for which a request holds its slot: 170 tokens in steps of 9 ms.
_SLOT_TIME_S = 1.5
# Weight of the wait for a slot in the choice of an engine. With 1.0, engines that have
# the adapter are left too early: at 0.9 of the room of the model, 0.890 of the long and
# 0.708 of the short prompts were in time, with 0.5 they were 0.934 and 0.771.
_SLOT_WAIT_WEIGHT = 0.5
# Requests by which a belief on an engine is usually wrong at half a second of age.
_UNCERTAINTY = 1.0
# Share of its prefill by which a prompt delays each request that is there; 0.17 served
# 0.924 and 0.760 in time.
_HARM_SHARE = 0.05
# Cost of the load of an adapter at an engine whose slots are all taken: it displaces an
# adapter that is soon asked for again, with the parts kept for it. In the model, 0.5 s
# let 0.149 of the shared tokens be prefilled again at 0.9 of the room, none 0.183.
_DISPLACEMENT_COST_S = 0.5


@attrs.frozen(kw_only=True)
class EngineState:
    """An engine as believed by this instance.

    Attributes
    ----------
    requests
        Requests that run or wait there.
    pending_tokens
        Prompt tokens whose prefill is pending.
    prefill_tokens_per_s
        Prompt tokens that it prefills per second.
    step_s
        Time in seconds of a decoding step with its requests.
    """

    requests: float
    pending_tokens: float
    slots: int
    prefill_tokens_per_s: float
    step_s: float


def first_event_s(engine: EngineState, uncached_tokens: float) -> float:
    """Return the expected time in seconds to a newcomer's first event."""
    tokens = engine.pending_tokens + uncached_tokens
    prefill_s = tokens / engine.prefill_tokens_per_s
    return prefill_s + engine.step_s + slot_wait_s(engine)


def weighted_first_event_s(engine: EngineState, uncached_tokens: float) -> float:
    """Return the time in seconds to the first event as the choice weighs it."""
    ignored_s = slot_wait_s(engine) * (1 - _SLOT_WAIT_WEIGHT)
    return first_event_s(engine, uncached_tokens) - ignored_s


def delay_of_others_s(engine: EngineState, uncached_tokens: float) -> float:
    """Return the delay in seconds that a newcomer causes to the requests there."""
    prefill_s = uncached_tokens / engine.prefill_tokens_per_s
    return engine.requests * prefill_s * _HARM_SHARE


def displacement_cost_s(engine: EngineState) -> float:
    """Return the cost in seconds of an adapter that a load displaces."""
    if engine.slots <= 0:
        return 0.0
    return _DISPLACEMENT_COST_S * min(engine.requests / engine.slots, 1.0) ** 2


def slot_wait_s(engine: EngineState) -> float:
    """Return the expected wait in seconds for a slot.

    The believed number of requests is uncertain, so the wait grows smoothly before all
    slots are taken.
    """
    if engine.slots <= 0:
        return 0.0
    excess = (engine.requests + 1 - engine.slots) / _UNCERTAINTY
    expected = excess if excess > 30 else math.log1p(math.exp(excess))
    return expected * _UNCERTAINTY * _SLOT_TIME_S / engine.slots
