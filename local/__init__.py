"""A small fleet on this machine: stand-ins and instances as processes."""

from __future__ import annotations
