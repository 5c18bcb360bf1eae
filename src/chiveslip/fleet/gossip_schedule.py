"""How often and with how many peers an instance gossips, by the size of its fleet.

In a small fleet every instance exchanges with every other in each round. In a larger
one it exchanges with a few, which pass on the reports they received, so that the
messages and connections of one instance do not grow with the fleet. Reports then take
several rounds to reach all instances, and timeouts that depend on them are longer.
"""

from __future__ import annotations

import math

import attrs

# Number of peers that an instance of a large fleet sends requests to in one round, and
# if it has nothing to tell to particular ones. On average it receives requests from as
# many, so twice as many receive its report.
_FAN_OUT = 3
MIN_FAN_OUT = 2
# Factor by which rounds are longer in a large fleet. An instance then takes part in no
# more exchanges per second than in a fleet of four.
_INTERVAL_FACTOR = 2.0
# Rounds in which an instance sends the same report of itself: applying a report costs
# more than requesting it.
_ROUNDS_PER_HEARTBEAT = 2
# Rounds until the last instances have a report, after those in which the number of
# instances that have it multiplies.
_FINAL_ROUNDS = 2
# Rounds of a small fleet without a heartbeat after which an instance may be lost.
_MAX_MISSED_ROUNDS = 4
# Upper limit of the delay after a read of the store that brought a change: a
# configuration change has to be active within three seconds.
_MAX_BATCH_DELAY_S = 1.2
# Upper limit of one watch of the store in a large fleet: half of the time within which
# an instance has to catch up after its connection to the store stops delivering data.
_MAX_WATCH_S = 2.5


@attrs.frozen(kw_only=True)
class GossipScheduleSettings:
    """Gossip settings of an instance, for a small fleet; times in seconds.

    The attributes have the meaning of those of `GossipSchedule`.
    """

    interval_s: float
    fan_out: int
    heartbeat_timeout_s: float
    batch_delay_s: float
    max_watch_s: float


@attrs.frozen(kw_only=True)
class GossipSchedule:
    """Intervals, limits and timeouts for one size of fleet.

    Attributes
    ----------
    interval_s
        Time in seconds between two rounds.
    fan_out
        Largest number of peers that an instance sends requests to in one round.
    rounds_per_heartbeat
        Number of rounds in which an instance sends the same report of itself.
    relays_reports
        Whether instances pass on the reports of others.
    propagation_s
        Time in seconds until all instances have the report of one; 0 if each sends
        its report to all others directly.
    heartbeat_timeout_s
        An instance without a newer heartbeat for this time in seconds is lost.
    max_heartbeat_age_s
        An instance without a newer heartbeat for this time in seconds may be lost.
    batch_delay_s
        Delay in seconds after a read of the store that brought a change.
    max_watch_s
        Longest wait in seconds of one watch of the store.
    """

    interval_s: float
    fan_out: int
    rounds_per_heartbeat: int
    relays_reports: bool
    propagation_s: float
    heartbeat_timeout_s: float
    max_heartbeat_age_s: float
    batch_delay_s: float
    max_watch_s: float


def schedule_for(members: int, settings: GossipScheduleSettings) -> GossipSchedule:
    """Return the schedule for a fleet of `members`, this instance included."""
    if members <= settings.fan_out + 1:
        return GossipSchedule(
            interval_s=settings.interval_s,
            fan_out=settings.fan_out,
            rounds_per_heartbeat=1,
            relays_reports=False,
            propagation_s=0.0,
            heartbeat_timeout_s=settings.heartbeat_timeout_s,
            max_heartbeat_age_s=min(
                _MAX_MISSED_ROUNDS * settings.interval_s, settings.heartbeat_timeout_s
            ),
            batch_delay_s=settings.batch_delay_s,
            max_watch_s=settings.max_watch_s,
        )
    interval_s = settings.interval_s * _INTERVAL_FACTOR
    multiplying_rounds = math.ceil(math.log(members) / math.log(2 * MIN_FAN_OUT + 1))
    rounds = _ROUNDS_PER_HEARTBEAT - 1 + multiplying_rounds + _FINAL_ROUNDS
    propagation_s = rounds * interval_s
    size_ratio = members / (settings.fan_out + 1)
    max_watch_s = min(
        settings.max_watch_s * size_ratio, max(_MAX_WATCH_S, settings.max_watch_s)
    )
    batch_delay_s = min(
        settings.batch_delay_s * size_ratio,
        max(_MAX_BATCH_DELAY_S, settings.batch_delay_s),
    )
    heartbeat_timeout_s = max(
        settings.heartbeat_timeout_s, propagation_s + 2 * interval_s
    )
    return GossipSchedule(
        interval_s=interval_s,
        fan_out=_FAN_OUT,
        rounds_per_heartbeat=_ROUNDS_PER_HEARTBEAT,
        relays_reports=True,
        propagation_s=propagation_s,
        heartbeat_timeout_s=heartbeat_timeout_s,
        max_heartbeat_age_s=heartbeat_timeout_s,
        batch_delay_s=batch_delay_s,
        max_watch_s=max_watch_s,
    )
