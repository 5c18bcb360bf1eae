"""Rate and burst of each organisation, enforced across all instances."""

from __future__ import annotations
