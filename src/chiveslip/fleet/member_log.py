"""Log lines for each peer that becomes alive or is lost."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

from chiveslip import logs


@final
class MemberLog:
    """Logs changes of the set of live members."""

    def __init__(self, instance: str) -> None:
        self._alive = {instance}
        self._log = logs.get_logger("fleet")

    def log_changes(self, alive: Iterable[str], *, has_quorum: bool) -> None:
        """Log the changes since the last call.

        Parameters
        ----------
        has_quorum
            Whether a majority of the recent members is alive to this instance.
        """
        current = set(alive)
        for name in sorted(current - self._alive):
            self._log.info("Peer alive.", peer=name, alive=len(current))
        for name in sorted(self._alive - current):
            self._log.warning(
                "Peer lost.", peer=name, alive=len(current), has_quorum=has_quorum
            )
        self._alive = current
