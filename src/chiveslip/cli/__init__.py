"""The operators' command-line tool."""

from __future__ import annotations
