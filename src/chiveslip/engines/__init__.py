"""Model engines: queues, adapter slots, orders, and their dialect."""

from __future__ import annotations
