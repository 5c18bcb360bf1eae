"""The newest traces of calls, by call id."""

from __future__ import annotations

import collections
from typing import final

from chiveslip.dispatch.outcome import Trace

MOST_TRACES = 2000


@final
class Traces:
    """Holds a bounded number of traces."""

    def __init__(self, most: int = MOST_TRACES) -> None:
        self._most = most
        self._held: collections.OrderedDict[str, Trace] = collections.OrderedDict()

    def add(self, trace: Trace) -> None:
        """Keep a trace; the oldest one goes when there are too many."""
        self._held[trace.request] = trace
        while len(self._held) > self._most:
            self._held.popitem(last=False)

    def find(self, request: str) -> Trace | None:
        """Return the trace of a call, if it is still held."""
        return self._held.get(request)
