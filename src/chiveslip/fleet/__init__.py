"""Fleet membership, and which instance owns which key."""

from __future__ import annotations
