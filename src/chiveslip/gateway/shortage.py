"""Decides how long a queue at an engine may be for a request to join it.

It answers a load of more requests than the engines of a large fleet serve in time, for
seconds: a request that joins a long queue is late itself, makes those behind it late,
and the queue outlasts the load. One that is refused at once returns when there is room.
All instances decide alike from what the engines report. The module is pure.
"""

from __future__ import annotations

# Queue that the most urgent requests may join, as a share of the shortest objective of
# the service. An engine begins more urgent requests first, so they wait less than the
# queue is long.
_MAX_QUEUE_SHARE = 1.25
# By so much less for each step of priority, as their room goes to more urgent ones.
_SHARE_PER_PRIORITY = 0.25
_MIN_QUEUE_SHARE = 0.5
# A request that was refused and returned has missed its objective. It may join a queue
# that is longer by this factor, so that it goes before newcomers of its priority.
_RETURN_FACTOR = 2.0
# A caller whose remaining time is shorter than the timeout of its route by more than
# this has asked before. Callers declare at least the timeout in their first request.
_MIN_ELAPSED_S = 0.3


def has_returned(remaining_s: float | None, timeout_s: float) -> bool:
    """Return whether a request was refused before, by the time its caller has left.

    Parameters
    ----------
    remaining_s
        Time in seconds that the caller waits, or None if it is not declared.
    timeout_s
        Timeout in seconds of the route.
    """
    return remaining_s is not None and remaining_s < timeout_s - _MIN_ELAPSED_S


def max_queue_s(objective_s: float, priority: int, *, is_return: bool) -> float:
    """Return the longest queue in seconds that a request may join.

    Parameters
    ----------
    objective_s
        Shortest objective in seconds of the routes to the service. It is the same for
        all its requests, so that less urgent ones with a longer objective of their own
        do not take the room of more urgent ones.
    priority
        Priority of the request; 0 is the most urgent.
    """
    share = _MAX_QUEUE_SHARE - _SHARE_PER_PRIORITY * max(priority, 0)
    bound_s = objective_s * max(share, _MIN_QUEUE_SHARE)
    return bound_s * _RETURN_FACTOR if is_return else bound_s
