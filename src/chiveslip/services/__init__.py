"""Plain services: endpoint selection, endpoint health and protocol."""

from __future__ import annotations
