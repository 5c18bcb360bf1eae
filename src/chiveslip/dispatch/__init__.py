"""Sending a call to an endpoint and judging what comes back."""

from __future__ import annotations
