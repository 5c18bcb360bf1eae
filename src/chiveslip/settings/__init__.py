"""The daemon's settings: their fields, and the check of a settings file."""

from __future__ import annotations
