"""Commands on keys: make one, withdraw one."""

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
_PREFIX = "csk_"
_FILE = "organisations.yaml"


@cappa.command(name="make-key")
@dataclass
class MakeKey:
    """Make a key for an organisation.

    The key is shown once; only its hash goes into organisations.yaml. Comments in
    that file are not kept.
    """

    source: Source
    organisation: Annotated[str, cappa.Arg(help="Name of the organisation.")]
    id: Annotated[str, cappa.Arg(help="Name of the key, for logs and for withdrawal.")]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        organisations = _read(self.source)
        keys = _keys(organisations, self.organisation)
        if any(key.get("id") == self.id for key in keys):
            line = f"{self.organisation} has a key {self.id!r} already; choose another"
            raise output.fail([line], output.EXIT_FAULTY)
        key = _PREFIX + secrets.token_urlsafe(_KEY_BYTES)
        keys.append({"id": self.id, "hash": hashing.key_hash(key)})
        _write(self.source, organisations)
        value = {"organisation": self.organisation, "id": self.id, "key": key}
        output.show(value, f"{key}\nIt is not shown again.", as_json=self.json)


@cappa.command(name="withdraw-key")
@dataclass
class WithdrawKey:
    """Withdraw a key; it stops working once the change is published."""

    source: Source
    organisation: Annotated[str, cappa.Arg(help="Name of the organisation.")]
    id: Annotated[str, cappa.Arg(help="Name of the key.")]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        organisations = _read(self.source)
        keys = _keys(organisations, self.organisation)
        found = [key for key in keys if key.get("id") == self.id]
        if not found:
            known = ", ".join(str(key.get("id")) for key in keys) or "none"
            line = f"{self.organisation} has no key {self.id!r}; its keys are {known}"
            raise output.fail([line], output.EXIT_FAULTY)
        found[0]["withdrawn"] = True
        _write(self.source, organisations)
        value = {"organisation": self.organisation, "id": self.id, "withdrawn": True}
        text = f"key {self.id} of {self.organisation} is withdrawn; publish to apply"
        output.show(value, text, as_json=self.json)


def _read(source: Path) -> dict[str, Any]:
    path = source / _FILE
    try:
        value = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError) as error:
        raise output.fail([f"{path}: {error}"], output.EXIT_FAULTY) from error
    return value if isinstance(value, dict) else {}


def _keys(organisations: dict[str, Any], name: str) -> list[dict[str, Any]]:
    entry = organisations.get(name)
    if not isinstance(entry, dict):
        known = ", ".join(sorted(organisations)) or "none"
        line = f"there is no organisation {name!r}; there are {known}"
        raise output.fail([line], output.EXIT_FAULTY)
    keys: list[dict[str, Any]] = entry.setdefault("keys", [])
    return keys


def _write(source: Path, organisations: dict[str, Any]) -> None:
    path = source / _FILE
    fresh = path.with_suffix(".new")
    fresh.write_text(yaml.safe_dump(organisations, sort_keys=False), encoding="utf-8")
    fresh.replace(path)
