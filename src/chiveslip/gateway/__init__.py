"""Opaque forwarding of requests to engines and services, on any route."""

from __future__ import annotations
