"""The users' platform: its names on the wire, translated to the product's types.

Nothing outside this folder and deploy/ knows a name of the platform.
"""

from __future__ import annotations
