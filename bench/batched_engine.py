"""An engine of a simulation: chunked prefill in mixed batches, and a cache of prompts.

Each step decodes one token of every running request and prefills up to a chunk of the
prompts that are pending. Running requests and kept parts share the memory; the part
used longest ago is dropped first. The caller advances the virtual time.
"""

from __future__ import annotations

import collections
import heapq
import itertools
from typing import final

import attrs

from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.gateway.engine_view import Adapter
from chiveslip.gateway.prompt_parts import Prompt

_TOKENS_PER_EVENT = 4


@attrs.frozen(kw_only=True)
class Batching:
    """Speed and memory of an engine of speed 1; times in seconds."""

    slots: int = 16
    memory_tokens: int = 71_552
    chunk_tokens: int = 1024
    prefill_tokens_per_s: float = 20_400.0
    step_s: float = 0.0101
    step_per_request_s: float = 0.000_04


@attrs.define(eq=False, kw_only=True)
class BatchedRequest:
    """A request at a simulated engine.

    Attributes
    ----------
    kind
        Name of its kind.
    uncached_tokens
        Prompt tokens that the engine had to prefill.
    shared_again_tokens
        Those of them that belong to shared parts which another engine kept.
    best_kept_tokens
        Most tokens of shared parts that any engine kept when it was sent.
    first_at
        Time in seconds of its first event, or None before.
    """

    kind: str
    at: float
    instance: int
    adapter: Adapter
    prompt: Prompt
    prompt_tokens: float
    output_tokens: int
    priority: int
    engine: str = ""
    pending_tokens: float = 0.0
    uncached_tokens: float = 0.0
    shared_again_tokens: float = 0.0
    best_kept_tokens: float = 0.0
    decoded: int = 0
    last_event_at: float = 0.0
    max_pause_s: float = 0.0
    first_at: float | None = None

    @property
    def memory_tokens(self) -> float:
        """Tokens of memory that it occupies at its end."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen
class LoadSnapshot:
    """What an engine reported at one time."""

    at: float
    running: int
    waiting: int


@final
class BatchedEngine:
    """One engine; `begin_step` and `end_step` alternate while it has requests."""

    def __init__(
        self, listed: ListedEndpoint, batching: Batching, speed: float
    ) -> None:
        self.listed = listed
        self.batching = batching
        self.speed = speed
        self.is_stepping = False
        self.used_at: dict[Adapter, float] = {}
        # Requests that wait for their adapter.
        self.coming: set[BatchedRequest] = set()
        self.snapshots: collections.deque[LoadSnapshot] = collections.deque(maxlen=64)
        self._waiting: list[tuple[int, int, BatchedRequest]] = []
        self._numbers = itertools.count()
        self._running: list[BatchedRequest] = []
        self._prefills: collections.deque[BatchedRequest] = collections.deque()
        self._ended_prefills: list[BatchedRequest] = []
        self._running_tokens = 0.0
        self._kept: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._kept_tokens = 0.0

    @property
    def running(self) -> int:
        """Requests that have a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    @property
    def requests(self) -> list[BatchedRequest]:
        """All requests that were sent here and have not ended."""
        waiting = [request for _, _, request in self._waiting]
        return [*self.coming, *self._running, *waiting]

    def pending_tokens(self) -> float:
        """Return the prompt tokens whose prefill is pending."""
        prefilling = sum(request.pending_tokens for request in self._prefills)
        queued = [*self.coming, *(request for _, _, request in self._waiting)]
        return prefilling + sum(
            request.prompt_tokens - self.kept_tokens(request.prompt)
            for request in queued
        )

    def kept_tokens(self, prompt: Prompt) -> float:
        """Return how many tokens of a prompt the engine keeps."""
        tokens = 0.0
        for prefix in prompt.prefixes:
            if prefix.key not in self._kept:
                break
            tokens = prefix.tokens
        return tokens

    def restart(self) -> None:
        """Lose all kept parts and adapters; requests that run go on."""
        self.listed = attrs.evolve(self.listed, started=self.listed.started + 1)
        self._kept.clear()
        self._kept_tokens = 0.0
        self.used_at.clear()

    def offer(self, request: BatchedRequest) -> None:
        """Queue a request; more urgent ones run first."""
        self.coming.discard(request)
        heapq.heappush(self._waiting, (request.priority, next(self._numbers), request))

    def begin_step(self) -> float | None:
        """Begin a step and return its time in seconds, None if nothing is to do."""
        self._admit_waiting()
        if not self._running:
            return None
        batching = self.batching
        left = float(batching.chunk_tokens)
        decoding = len(self._running) - len(self._prefills)
        while self._prefills and left > 0:
            request = self._prefills[0]
            tokens = min(request.pending_tokens, left)
            request.pending_tokens -= tokens
            left -= tokens
            if request.pending_tokens <= 0:
                self._ended_prefills.append(self._prefills.popleft())
        prefill_s = (batching.chunk_tokens - left) / batching.prefill_tokens_per_s
        step_s = batching.step_s + batching.step_per_request_s * decoding + prefill_s
        return step_s / self.speed

    def end_step(self, now: float) -> list[BatchedRequest]:
        """End a step and return the requests that have ended."""
        for request in self._ended_prefills:
            request.first_at = request.last_event_at = now
            self._keep(request)
        self._ended_prefills.clear()
        ended = []
        for request in self._running:
            if request.first_at is None:
                continue
            request.decoded += 1
            if request.decoded % _TOKENS_PER_EVENT == 0:
                pause_s = now - request.last_event_at
                request.max_pause_s = max(request.max_pause_s, pause_s)
                request.last_event_at = now
            if request.decoded >= request.output_tokens:
                ended.append(request)
        for request in ended:
            self._running.remove(request)
            self._running_tokens -= request.memory_tokens
        return ended

    def _admit_waiting(self) -> None:
        while self._waiting and len(self._running) < self.batching.slots:
            request = self._waiting[0][2]
            tokens = self._running_tokens + request.memory_tokens
            if tokens > self.batching.memory_tokens and self._running:
                return
            heapq.heappop(self._waiting)
            kept_tokens = self.kept_tokens(request.prompt)
            for prefix in request.prompt.prefixes:
                if prefix.key in self._kept:
                    self._kept.move_to_end(prefix.key)
            request.uncached_tokens = max(request.prompt_tokens - kept_tokens, 1.0)
            request.shared_again_tokens = max(
                request.best_kept_tokens - kept_tokens, 0.0
            )
            request.pending_tokens = request.uncached_tokens
            self._running.append(request)
            self._prefills.append(request)
            self._running_tokens += request.memory_tokens
            self._drop_parts()

    def _keep(self, request: BatchedRequest) -> None:
        before = 0.0
        for prefix in request.prompt.prefixes:
            if prefix.key not in self._kept:
                self._kept[prefix.key] = prefix.tokens - before
                self._kept_tokens += prefix.tokens - before
            self._kept.move_to_end(prefix.key)
            before = prefix.tokens
        self._drop_parts()

    def _drop_parts(self) -> None:
        free = self.batching.memory_tokens - self._running_tokens
        while self._kept and self._kept_tokens > free:
            _, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens
