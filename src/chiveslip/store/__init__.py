"""Client of the key-value store that operators and endpoints write."""

from __future__ import annotations
