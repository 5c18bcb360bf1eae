"""Published configuration: documents, templates, revisions and their sources."""

from __future__ import annotations
