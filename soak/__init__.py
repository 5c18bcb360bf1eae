"""A randomized soak of real gateway processes under faults from outside."""

from __future__ import annotations
