"""Tests of chiveslip."""

from __future__ import annotations
