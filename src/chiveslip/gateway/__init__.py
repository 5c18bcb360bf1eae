"""Forwarding of callers' requests to engines and services, without reading bodies."""

from __future__ import annotations
