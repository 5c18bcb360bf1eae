"""Connects gateways to the users' platform: headers, store, reports and orders.

The modules convert between the names that the platform uses on the wire and the
types of the gateway. Only this folder and deploy/ contain names of the platform.
"""

from __future__ import annotations
