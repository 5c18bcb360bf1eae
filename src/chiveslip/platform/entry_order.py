"""Decides which of two values of a store entry is newer, by what the values say.

Revisions cannot tell once the store has returned from an older copy. What was known
before does not go back with it: a configuration is ordered by its version, an adapter's
version by its number, a replica by its start, and leaving is final for one start. An
evacuation holds, or is revoked, as the operator did last before the return.
"""

from __future__ import annotations

from chiveslip.gateway.endpoints import EndpointState
from chiveslip.gateway.endpoints import ListedEndpoint
from chiveslip.platform import configuration
from chiveslip.platform import fields
from chiveslip.platform import replicas
from chiveslip.platform.fields import UnreadableError

_OPERATOR_PREFIX = "op/"


def choose_value(key: str, known: bytes | None, copy: bytes | None) -> bytes | None:
    """Return the value of a key that holds after the store returned from a copy.

    Parameters
    ----------
    known
        Value that this instance knew, or None if it knew that the key was removed.
    copy
        Value in the copy, or None if the copy lacks the key.
    """
    if key.startswith(configuration.EVACUATIONS_PREFIX):
        return known
    if key.startswith(_OPERATOR_PREFIX):
        return _choose_operator_value(key, known, copy)
    if key.startswith(replicas.SERVERS_PREFIX):
        return _choose_replica(key, known, copy)
    return copy


def _choose_operator_value(
    key: str, known: bytes | None, copy: bytes | None
) -> bytes | None:
    if known is None or copy is None:
        # The operator writes again what the copy lacks.
        return known if copy is None else copy
    return copy if _version(key, copy) >= _version(key, known) else known


def _version(key: str, value: bytes) -> float:
    """Return the version that a value of the operator names, or -1 if unreadable."""
    try:
        if key.startswith(configuration.VERSIONS_PREFIX):
            return configuration.read_version(key, value)[1]
        return fields.read_number(fields.parse_object(value), "version")
    except UnreadableError:
        return -1.0


def _choose_replica(key: str, known: bytes | None, copy: bytes | None) -> bytes | None:
    """Choose between two entries of a replica.

    A removed replica stays removed until it writes its entry again, which has a later
    revision than the copy. One that the copy lacks may do so within its renewal time.
    """
    if known is None or copy is None:
        return None
    before, after = _read(key, known), _read(key, copy)
    if before is None or after is None:
        return copy
    if after.started != before.started:
        return copy if after.started > before.started else known
    if before.state is EndpointState.LEAVING:
        return known
    return copy


def _read(key: str, value: bytes) -> ListedEndpoint | None:
    try:
        return replicas.read_endpoint(key, value)
    except UnreadableError:
        return None
