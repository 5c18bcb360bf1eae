"""Benchmarks, which are run by hand. No test has a bound on real time."""

from __future__ import annotations
