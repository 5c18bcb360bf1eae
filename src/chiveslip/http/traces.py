"""Storage of the newest traces of calls, by call id."""

from __future__ import annotations

import collections
from typing import final

from chiveslip.dispatch.outcome import Trace

MAX_TRACES = 2000


@final
class TraceBuffer:
    """Holds the newest traces, up to a maximum number."""

    def __init__(self, max_traces: int = MAX_TRACES) -> None:
        self._max_traces = max_traces
        self._traces: collections.OrderedDict[str, Trace] = collections.OrderedDict()

    def add(self, trace: Trace) -> None:
        """Store a trace, and discard the oldest ones over the maximum number."""
        self._traces[trace.request] = trace
        while len(self._traces) > self._max_traces:
            self._traces.popitem(last=False)

    def find(self, request: str) -> Trace | None:
        """Return the trace of a call, or None if it is not stored."""
        return self._traces.get(request)
