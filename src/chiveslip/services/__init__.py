"""Plain services: which endpoint a call goes to."""

from __future__ import annotations
