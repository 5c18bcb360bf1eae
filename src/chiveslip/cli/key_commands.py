"""Commands for API keys: make and withdraw."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated
from typing import Any

import cappa
import yaml

from chiveslip import hashing
from chiveslip.cli import output
from chiveslip.cli.configuration_commands import AsJson
from chiveslip.cli.configuration_commands import Source

_KEY_BYTES = 32
_KEY_PREFIX = "csk_"
_ORGANISATIONS_FILE = "organisations.yaml"


@cappa.command(name="make-key")
@dataclass
class MakeKey:
    """Make a key for an organisation.

    The key is shown once; only its hash is written to organisations.yaml. Comments
    in that file are lost.
    """

    source: Source
    organisation: Annotated[str, cappa.Arg(help="Name of the organisation.")]
    id: Annotated[str, cappa.Arg(help="Name of the key, for logs and withdrawal.")]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        organisations = _read_organisations(self.source)
        keys = _get_or_create_keys(organisations, self.organisation)
        if any(key.get("id") == self.id for key in keys):
            line = (
                f"{self.organisation} already has a key {self.id!r}; choose another id"
            )
            raise output.print_errors([line], output.EXIT_INVALID_INPUT)
        key = _KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)
        keys.append({"id": self.id, "hash": hashing.key_hash(key)})
        _write_organisations(self.source, organisations)
        value = {"organisation": self.organisation, "id": self.id, "key": key}
        output.print_result(
            value, f"{key}\nThis key is not shown again.", as_json=self.json
        )


@cappa.command(name="withdraw-key")
@dataclass
class WithdrawKey:
    """Withdraw a key; it stops working when the change is published."""

    source: Source
    organisation: Annotated[str, cappa.Arg(help="Name of the organisation.")]
    id: Annotated[str, cappa.Arg(help="Name of the key.")]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        organisations = _read_organisations(self.source)
        keys = _get_or_create_keys(organisations, self.organisation)
        found = [key for key in keys if key.get("id") == self.id]
        if not found:
            known = ", ".join(str(key.get("id")) for key in keys) or "none"
            line = f"{self.organisation} has no key {self.id!r}; its keys are {known}"
            raise output.print_errors([line], output.EXIT_INVALID_INPUT)
        found[0]["withdrawn"] = True
        _write_organisations(self.source, organisations)
        value = {"organisation": self.organisation, "id": self.id, "withdrawn": True}
        text = f"key {self.id} of {self.organisation} is withdrawn; publish to apply"
        output.print_result(value, text, as_json=self.json)


def _read_organisations(source: Path) -> dict[str, Any]:
    path = source / _ORGANISATIONS_FILE
    try:
        value = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError) as error:
        raise output.print_errors(
            [f"{path}: {error}"], output.EXIT_INVALID_INPUT
        ) from error
    return value if isinstance(value, dict) else {}


def _get_or_create_keys(
    organisations: dict[str, Any], name: str
) -> list[dict[str, Any]]:
    entry = organisations.get(name)
    if not isinstance(entry, dict):
        known = ", ".join(sorted(organisations)) or "none"
        line = f"there is no organisation {name!r}; known are {known}"
        raise output.print_errors([line], output.EXIT_INVALID_INPUT)
    keys: list[dict[str, Any]] = entry.setdefault("keys", [])
    return keys


def _write_organisations(source: Path, organisations: dict[str, Any]) -> None:
    path = source / _ORGANISATIONS_FILE
    temporary = path.with_suffix(".new")
    temporary.write_text(
        yaml.safe_dump(organisations, sort_keys=False), encoding="utf-8"
    )
    temporary.replace(path)
