"""A serving layer for very many LoRA adapters, between callers and back ends."""

from __future__ import annotations

__version__ = "0.1.0"
