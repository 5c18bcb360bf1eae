"""Authentication of callers by their API keys."""

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
    """Authenticated caller; only the hash of the key is kept."""

    organisation: Organisation
    key_id: str
    key_hash: str


def authenticate(
    authorization: str | None, configuration: Configuration
) -> Result[Caller, Refusal]:
    """Return the caller of a request from its ``Authorization`` header."""
    scheme, _, key = (authorization or "").strip().partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key:
        detail = "Send the key as 'Authorization: Bearer <key>'."
        return Failure(Refusal(code=result_codes.KEY_MISSING, detail=detail))
    return find_caller(hashing.key_hash(key), configuration)


def find_caller(key_hash: str, configuration: Configuration) -> Result[Caller, Refusal]:
    """Return the caller whose key has the given hash in `configuration`.

    Called again whenever a call leaves a queue, so that a call whose key was
    withdrawn in the meantime is refused.
    """
    found = configuration.keys.get(key_hash)
    if found is None or found[1].withdrawn:
        detail = "The key is unknown or was withdrawn; ask your operator for one."
        return Failure(Refusal(code=result_codes.KEY_REFUSED, detail=detail))
    organisation, key = found
    caller = Caller(organisation=organisation, key_id=key.id, key_hash=key_hash)
    return Success(caller)
