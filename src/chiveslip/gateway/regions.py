"""Regions of data centres, and which of them requests may be sent to.

An allowed set of regions is None if requests may be sent everywhere. The module does no
I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

AllowedRegions = frozenset[str] | None


@final
class Regions:
    """Regions by data centre.

    Parameters
    ----------
    pairs
        Data centres, each with its region. Any other data centre is a region by itself.
    """

    def __init__(self, pairs: Iterable[tuple[str, str]] = ()) -> None:
        self._by_data_centre = dict(pairs)

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre; empty if the data centre is unknown."""
        return self._by_data_centre.get(data_centre, data_centre)

    def allows(self, data_centre: str, allowed: AllowedRegions) -> bool:
        """Return whether requests may be sent to endpoints in a data centre."""
        return allowed is None or self.region_of(data_centre) in allowed

    def allows_instance(
        self, data_centre: str, allowed: AllowedRegions, own_data_centre: str
    ) -> bool:
        """Return whether an instance in a data centre may have a request's body.

        It may have it in the region of the instance that its caller connected to, too.
        """
        if self.allows(data_centre, allowed):
            return True
        region = self.region_of(data_centre)
        return bool(region) and region == self.region_of(own_data_centre)


def intersect(*allowed: AllowedRegions) -> AllowedRegions:
    """Return the regions that all of some sets allow."""
    bounds = [regions for regions in allowed if regions is not None]
    return frozenset.intersection(*bounds) if bounds else None
