"""Which instances are live, and which of them decides for what."""

from __future__ import annotations
