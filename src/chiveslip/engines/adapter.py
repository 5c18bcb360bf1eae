"""Name of an adapter's version, as calls and engines use it."""

from __future__ import annotations

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from chiveslip.configuration.model import Adapter
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import Organisation
from chiveslip.generated import result_codes
from chiveslip.results import Refusal
from chiveslip.results import ResultCode

_SEPARATOR = "@"


@attrs.frozen
class AdapterVersion:
    """One version of one adapter, written ``adapter@version``."""

    adapter: str
    version: str

    def __str__(self) -> str:
        return f"{self.adapter}{_SEPARATOR}{self.version}"


def parse(text: str) -> AdapterVersion:
    """Read ``adapter@version``; the version is empty if there is none."""
    adapter, _, version = text.partition(_SEPARATOR)
    return AdapterVersion(adapter, version)


def resolve(
    model: str, organisation: Organisation, configuration: Configuration
) -> Result[tuple[Adapter, AdapterVersion], Refusal]:
    """Find the adapter and version that a call's ``model`` names.

    A name without a version means the current version of the configuration in
    force when the call is admitted. An adapter of another organisation is
    refused alike whether or not it exists.
    """
    wanted = parse(model)
    if not organisation.may_use(wanted.adapter):
        detail = f"{wanted.adapter!r} is no adapter of this organisation."
        return _refuse(result_codes.ADAPTER_NOT_ALLOWED, detail)
    adapter = configuration.adapters.get(wanted.adapter)
    if adapter is None:
        detail = f"There is no adapter {wanted.adapter!r}."
        return _refuse(result_codes.ADAPTER_UNKNOWN, detail)
    version = wanted.version or adapter.current
    if version not in adapter.versions:
        known = ", ".join(adapter.versions)
        detail = f"{adapter.name!r} has no version {version!r}; it has {known}."
        return _refuse(result_codes.VERSION_UNKNOWN, detail)
    return Success((adapter, AdapterVersion(adapter.name, version)))


def _refuse(
    code: ResultCode, detail: str
) -> Result[tuple[Adapter, AdapterVersion], Refusal]:
    return Failure(Refusal(code=code, detail=detail))
