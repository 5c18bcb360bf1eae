"""A local fleet: stand-ins and instances as processes on one machine."""

from __future__ import annotations
