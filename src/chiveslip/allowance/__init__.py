"""Rate and burst of each organisation, counted across all instances."""

from __future__ import annotations
