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
_ASKED = 3
# Rounds are this much longer there, so that an instance takes part in no more
# exchanges a second than in a fleet of four.
_LONGER = 2.0
# Rounds in which an instance says the same of itself: to take a report over costs more
# than to ask for it.
_ROUNDS_A_BEAT = 2
# Rounds until the last ones have the news, beyond those in which it multiplies.
_LAST_ROUNDS = 2
# The interval between reads of the store grows up to this time in seconds: a change
# of configuration has to be in force within three.
_LONGEST_GATHER_S = 1.2
# A watch of the store waits up to this long there: half of the time in which an
# instance has to catch up after a path that went silent.
_LONGEST_WATCH_S = 2.5
# The own watch is given this long to bring what a peer already has, beyond the longer
# pause between two of them.
_PATIENCE_S = 0.3


@attrs.frozen(kw_only=True)
class PaceSettings:
    """What the settings say; times in seconds."""

    interval_s: float
    fan_out: int
    silence_s: float
    gather_s: float
    watch_s: float


@attrs.frozen(kw_only=True)
class Pace:
    """The pace of one fleet.

    Attributes
    ----------
    interval_s
        Time in seconds between two rounds.
    asked
        Peers that are asked in one round.
    rounds_a_beat
        Rounds in which an instance tells the same of itself.
    relays
        Whether instances pass on what others said of themselves.
    spread_s
        Time in seconds in which all have the news of one; 0 where each tells it
        to all at once.
    silence_s
        An instance without news for this time in seconds is gone.
    gather_s
        Pause in seconds after a change of the store was read.
    watch_s
        Longest wait in seconds of one watch of the store.
    patience_s
        Time in seconds for which a peer has had newer changes of the store before
        they are taken from it.
    """

    interval_s: float
    asked: int
    rounds_a_beat: int
    relays: bool
    spread_s: float
    silence_s: float
    gather_s: float
    watch_s: float
    patience_s: float


def pace_of(members: int, settings: PaceSettings) -> Pace:
    """Return the pace of a fleet of `members`, the own instance included."""
    if members <= settings.fan_out + 1:
        return Pace(
            interval_s=settings.interval_s,
            asked=settings.fan_out,
            rounds_a_beat=1,
            relays=False,
            spread_s=0.0,
            silence_s=settings.silence_s,
            gather_s=settings.gather_s,
            watch_s=settings.watch_s,
            patience_s=_PATIENCE_S,
        )
    interval_s = settings.interval_s * _LONGER
    multiplying = math.ceil(math.log(members) / math.log(2 * _ASKED + 1))
    rounds = _ROUNDS_A_BEAT - 1 + multiplying + _LAST_ROUNDS
    spread_s = rounds * interval_s
    share = members / (settings.fan_out + 1)
    watch_s = min(settings.watch_s * share, max(_LONGEST_WATCH_S, settings.watch_s))
    gather_s = min(settings.gather_s * share, max(_LONGEST_GATHER_S, settings.gather_s))
    return Pace(
        interval_s=interval_s,
        asked=_ASKED,
        rounds_a_beat=_ROUNDS_A_BEAT,
        relays=True,
        spread_s=spread_s,
        silence_s=max(settings.silence_s, spread_s + 2 * interval_s),
        gather_s=gather_s,
        watch_s=watch_s,
        patience_s=_PATIENCE_S + gather_s - settings.gather_s,
    )
