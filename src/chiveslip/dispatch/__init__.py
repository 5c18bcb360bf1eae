"""Dispatch of calls to endpoints, and evaluation of the responses."""

from __future__ import annotations
