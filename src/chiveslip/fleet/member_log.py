"""One line for each peer that is heard of, or not heard of any more."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

from chiveslip import logs


@final
class MemberLog:
    """Logs changes of who is alive."""

    def __init__(self, instance: str) -> None:
        self._alive = {instance}
        self._log = logs.get_logger("fleet")

    def log_changes(self, alive: Iterable[str], *, has_quorum: bool) -> None:
        """Log what changed since the last time.

        Parameters
        ----------
        has_quorum
            Whether this instance hears most of the members of the last while.
        """
        now = set(alive)
        for name in sorted(now - self._alive):
            self._log.info("Peer alive.", peer=name, alive=len(now))
        for name in sorted(self._alive - now):
            self._log.warning(
                "Peer lost.", peer=name, alive=len(now), has_quorum=has_quorum
            )
        self._alive = now
