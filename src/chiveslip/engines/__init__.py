"""Model engines: queues, adapter slots, load orders, and their protocol."""

from __future__ import annotations
