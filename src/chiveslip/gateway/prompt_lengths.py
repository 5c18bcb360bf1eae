"""What a prompt costs at an engine: its own wait, and the delay of the requests there.

An engine prefills prompts in chunks between the tokens that it decodes, so a prompt
waits for the prompts before it and slows the streams that run. The module is pure.
"""

from __future__ import annotations

import math

import attrs

# Time for which a request holds its slot: 170 tokens in steps of 9 ms.
_SLOT_TIME_S = 1.5
# Requests by which a belief on an engine is usually wrong: at half a second of age, a
# few other instances have sent theirs meanwhile.
_UNCERTAINTY = 2.0
# Share of its prefill by which a prompt delays each request that is there.
_HARM_SHARE = 0.17


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
    return prefill_s + engine.step_s + _slot_wait_s(engine)


def delay_of_others_s(engine: EngineState, uncached_tokens: float) -> float:
    """Return the delay in seconds that a newcomer causes to the requests there."""
    prefill_s = uncached_tokens / engine.prefill_tokens_per_s
    return engine.requests * prefill_s * _HARM_SHARE


def _slot_wait_s(engine: EngineState) -> float:
    """Return the expected wait in seconds for a slot.

    The believed number of requests is uncertain, so the wait grows smoothly before all
    slots are taken.
    """
    if engine.slots <= 0:
        return 0.0
    excess = (engine.requests + 1 - engine.slots) / _UNCERTAINTY
    expected = excess if excess > 30 else math.log1p(math.exp(excess))
    return expected * _UNCERTAINTY * _SLOT_TIME_S / engine.slots
