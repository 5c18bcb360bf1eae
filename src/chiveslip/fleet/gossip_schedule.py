"""How often and with how many peers an instance speaks, by the size of its fleet.

Answers the load of a fleet that grows: in a small one everybody speaks with everybody
in each round; in a larger one each speaks with a few, who pass on what they heard, so
that messages and connections of one instance do not grow with the fleet. News then
takes some rounds, and what waits for news waits longer.
"""

from __future__ import annotations

import math

import attrs

# Peers that an instance of a large fleet asks in one round; with those who ask it,
# twice as many hear its news.
_FAN_OUT = 3
# Rounds are this much longer there, so that an instance takes part in no more
# exchanges a second than in a fleet of four.
_INTERVAL_FACTOR = 2.0
# Rounds in which an instance says the same of itself: to take a report over costs more
# than to ask for it.
_ROUNDS_PER_HEARTBEAT = 2
# Rounds until the last ones have the news, beyond those in which it multiplies.
_FINAL_ROUNDS = 2
# The interval between reads of the store grows up to this time in seconds: a change
# of configuration has to be in force within three.
_MAX_GATHER_S = 1.2
# A watch of the store waits up to this long there: half of the time in which an
# instance has to catch up after a path that went silent.
_MAX_WATCH_S = 2.5
# The own watch is given this long to bring what a peer already has, beyond the longer
# pause between two of them.
_BASE_STORE_LAG_S = 0.3


@attrs.frozen(kw_only=True)
class GossipScheduleSettings:
    """What the settings say; times in seconds."""

    interval_s: float
    fan_out: int
    heartbeat_timeout_s: float
    gather_s: float
    watch_s: float


@attrs.frozen(kw_only=True)
class GossipSchedule:
    """The schedule of one fleet.

    Attributes
    ----------
    interval_s
        Time in seconds between two rounds.
    fan_out
        Peers that are fan_out in one round.
    rounds_per_heartbeat
        Rounds in which an instance tells the same of itself.
    relays_reports
        Whether instances pass on what others said of themselves.
    propagation_s
        Time in seconds in which all have the news of one; 0 where each tells it
        to all at once.
    heartbeat_timeout_s
        An instance without news for this time in seconds is gone.
    gather_s
        Pause in seconds after a change of the store was read.
    watch_s
        Longest wait in seconds of one watch of the store.
    max_store_lag_s
        Time in seconds for which a peer has had newer changes of the store before
        they are taken from it.
    """

    interval_s: float
    fan_out: int
    rounds_per_heartbeat: int
    relays_reports: bool
    propagation_s: float
    heartbeat_timeout_s: float
    gather_s: float
    watch_s: float
    max_store_lag_s: float


def schedule_for(members: int, settings: GossipScheduleSettings) -> GossipSchedule:
    """Return the schedule of a fleet of `members`, the own instance included."""
    if members <= settings.fan_out + 1:
        return GossipSchedule(
            interval_s=settings.interval_s,
            fan_out=settings.fan_out,
            rounds_per_heartbeat=1,
            relays_reports=False,
            propagation_s=0.0,
            heartbeat_timeout_s=settings.heartbeat_timeout_s,
            gather_s=settings.gather_s,
            watch_s=settings.watch_s,
            max_store_lag_s=_BASE_STORE_LAG_S,
        )
    interval_s = settings.interval_s * _INTERVAL_FACTOR
    multiplying = math.ceil(math.log(members) / math.log(2 * _FAN_OUT + 1))
    rounds = _ROUNDS_PER_HEARTBEAT - 1 + multiplying + _FINAL_ROUNDS
    propagation_s = rounds * interval_s
    share = members / (settings.fan_out + 1)
    watch_s = min(settings.watch_s * share, max(_MAX_WATCH_S, settings.watch_s))
    gather_s = min(settings.gather_s * share, max(_MAX_GATHER_S, settings.gather_s))
    return GossipSchedule(
        interval_s=interval_s,
        fan_out=_FAN_OUT,
        rounds_per_heartbeat=_ROUNDS_PER_HEARTBEAT,
        relays_reports=True,
        propagation_s=propagation_s,
        heartbeat_timeout_s=max(
            settings.heartbeat_timeout_s, propagation_s + 2 * interval_s
        ),
        gather_s=gather_s,
        watch_s=watch_s,
        max_store_lag_s=_BASE_STORE_LAG_S + gather_s - settings.gather_s,
    )
