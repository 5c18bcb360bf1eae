"""The key-value store that the operators and endpoints write and gateways read."""

from __future__ import annotations
