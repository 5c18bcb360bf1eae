"""Stand-ins for the systems around chiveslip; each runs as its own process."""

from __future__ import annotations
