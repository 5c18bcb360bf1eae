"""Decides which coordinators are told next that an adapter is in use, or no longer.

In a large fleet an instance exchanges with a few peers in a round, and peers do not
pass on what it uses. A coordinator takes an adapter for used until it is told the
contrary. The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import final

from chiveslip.gateway.engine_view import Adapter

Uses = frozenset[tuple[str, frozenset[Adapter]]]
"""Engines with the adapters that are in use there."""

_NO_USES: Uses = frozenset()
_UNKNOWN_USES: Uses = frozenset({("", frozenset())})


@final
class UseNotices:
    """The uses that each coordinator was told last."""

    def __init__(self) -> None:
        self._told: dict[str, Uses] = {}
        self._told_in_round: dict[str, int] = {}
        self._round = 0

    def select(
        self,
        uses: Mapping[str, Uses],
        reachable: Collection[str],
        limit: int,
        busy: Collection[str] = (),
    ) -> list[str]:
        """Return the coordinators to tell in this round, and take them for told.

        Parameters
        ----------
        uses
            Uses of this instance, by the coordinator of their engine.
        limit
            Most coordinators to return.
        busy
            Coordinators that cannot be told now, but later.
        """
        self._round += 1
        self._told = {n: told for n, told in self._told.items() if n in reachable}
        with_news = [
            name
            for name in sorted(uses.keys() | self._told.keys())
            if name in reachable
            and name not in busy
            and uses.get(name, _NO_USES) != self._told.get(name, _NO_USES)
        ]
        # Those told longest ago come first, so that each is told in turn.
        selected = sorted(with_news, key=lambda n: self._told_in_round.get(n, 0))[
            :limit
        ]
        self._told |= {name: uses.get(name, _NO_USES) for name in selected}
        self._told_in_round |= dict.fromkeys(selected, self._round)
        return selected

    def record_not_received(self, coordinators: Iterable[str]) -> None:
        """Tell coordinators again that may not have received what they were told."""
        for name in coordinators:
            if name in self._told:
                self._told[name] = _UNKNOWN_USES
