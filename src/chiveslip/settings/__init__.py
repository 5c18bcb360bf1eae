"""Settings of the daemon: field types, and validation of a settings file."""

from __future__ import annotations
