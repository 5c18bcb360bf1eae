"""At most one run of each call that may not be repeated."""

from __future__ import annotations
