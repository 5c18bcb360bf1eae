"""The daemon: wires the parts together."""

from __future__ import annotations
