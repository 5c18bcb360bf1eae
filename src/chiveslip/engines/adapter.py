"""Adapter versions: their written form, and lookup in the configuration."""

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


def parse_adapter_version(text: str) -> AdapterVersion:
    """Parse ``adapter@version``; the version is empty if none is given."""
    adapter, _, version = text.partition(_SEPARATOR)
    return AdapterVersion(adapter, version)


def resolve_adapter(
    model: str, organisation: Organisation, configuration: Configuration
) -> Result[tuple[Adapter, AdapterVersion], Refusal]:
    """Return the adapter and version that a call's ``model`` field names.

    A name without a version selects the current version in the configuration that
    is active when the call is admitted. An adapter of another organisation is
    refused with the same error whether or not it exists.
    """
    requested = parse_adapter_version(model)
    if not organisation.may_use(requested.adapter):
        detail = f"{requested.adapter!r} is not an adapter of this organisation."
        return _refuse(result_codes.ADAPTER_NOT_ALLOWED, detail)
    adapter = configuration.adapters.get(requested.adapter)
    if adapter is None:
        detail = f"There is no adapter {requested.adapter!r}."
        return _refuse(result_codes.ADAPTER_UNKNOWN, detail)
    version = requested.version or adapter.current
    if version not in adapter.versions:
        known = ", ".join(adapter.versions)
        detail = f"{adapter.name!r} has no version {version!r}; it has {known}."
        return _refuse(result_codes.VERSION_UNKNOWN, detail)
    return Success((adapter, AdapterVersion(adapter.name, version)))


def _refuse(
    code: ResultCode, detail: str
) -> Result[tuple[Adapter, AdapterVersion], Refusal]:
    return Failure(Refusal(code=code, detail=detail))
