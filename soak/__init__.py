"""Randomized soak test of gateway processes under injected faults."""

from __future__ import annotations
