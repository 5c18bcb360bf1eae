"""The daemon: creates the parts of an instance and connects them."""

from __future__ import annotations
