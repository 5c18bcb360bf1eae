"""Who calls: the key of a request, and the organisation it stands for."""

from __future__ import annotations

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from chiveslip import hashing
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import Organisation
from chiveslip.generated import result_codes
from chiveslip.results import Refusal

_SCHEME = "bearer"


@attrs.frozen(kw_only=True)
class Caller:
    """An authenticated caller; of the key only its hash goes on."""

    organisation: Organisation
    key_id: str
    key_hash: str


def authenticate(
    authorization: str | None, configuration: Configuration
) -> Result[Caller, Refusal]:
    """Find the caller of a request by its ``Authorization`` header."""
    scheme, _, key = (authorization or "").strip().partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key:
        detail = "Send the key as 'Authorization: Bearer <key>'."
        return Failure(Refusal(code=result_codes.KEY_MISSING, detail=detail))
    return by_hash(hashing.key_hash(key), configuration)


def by_hash(key_hash: str, configuration: Configuration) -> Result[Caller, Refusal]:
    """Find the caller by the hash of the key, in the configuration in force.

    Called again whenever a call leaves a queue, so that a key withdrawn in the
    meantime stops it.
    """
    found = configuration.keys.get(key_hash)
    if found is None or found[1].withdrawn:
        detail = "The key is unknown or was withdrawn; ask your operator for one."
        return Failure(Refusal(code=result_codes.KEY_REFUSED, detail=detail))
    organisation, key = found
    caller = Caller(organisation=organisation, key_id=key.id, key_hash=key_hash)
    return Success(caller)
