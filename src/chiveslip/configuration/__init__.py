"""What operators publish: documents, templates, revisions, and where they are read."""

from __future__ import annotations
