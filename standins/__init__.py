"""Small stand-ins for the systems around chiveslip, each its own process."""

from __future__ import annotations
