"""The side of callers and operators."""

from __future__ import annotations
