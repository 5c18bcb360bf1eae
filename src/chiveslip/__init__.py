"""A serving layer for many LoRA adapters, between callers and endpoints."""

from __future__ import annotations

__version__ = "0.1.0"
