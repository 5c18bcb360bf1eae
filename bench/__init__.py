"""Measurements; none of them is a test, and no test has a bound on time."""

from __future__ import annotations
