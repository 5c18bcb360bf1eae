"""A serving layer for many LoRA adapters, between callers and endpoints.

There are two programs. ``chiveslipd`` (`chiveslip.daemon.main`) reads published
documents, among them the list of instances; one instance owns each allowance or engine.
The gateway (`chiveslip.platform`) has no such list: its instances find each other
by gossip, and read a key-value store through `chiveslip.store`.
"""

from __future__ import annotations

__version__ = "0.1.0"
