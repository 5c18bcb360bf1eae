"""A simulated cluster in virtual time, with fakes at the external interfaces."""

from __future__ import annotations
