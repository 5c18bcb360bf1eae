"""From operators' YAML files to a manifest with content-addressed parts."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import attrs
import yaml

from chiveslip import hashing
from chiveslip.configuration import documents
from chiveslip.configuration.documents import Manifest
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.reading import Fault
from chiveslip.configuration.reading import FaultyDocumentError

MOST_PART_BYTES = 256 * 1024
_SHARDED = ("organisations", "adapters")
_SHARD_ENTRIES = 100


@attrs.frozen(kw_only=True)
class Publication:
    """A manifest, its parts by content hash, and what they render to."""

    manifest: Manifest
    parts: dict[str, bytes]
    configuration: Configuration


def build(source: Path, revision: int) -> Publication:
    """Build the publication of the YAML files in `source`.

    Raises
    ------
    FaultyDocumentError
        If a file is missing or faulty; it has all faults.
    """
    faults: list[Fault] = []
    names: dict[str, str] = {}
    parts: dict[str, bytes] = {}
    for section in documents.SECTIONS:
        for name, value in _shards(section, _read(source, section, faults)):
            content = _canonical(value)
            if len(content) > MOST_PART_BYTES:
                seen = f"{len(content)} bytes"
                faults.append(Fault(name, seen, f"up to {MOST_PART_BYTES} bytes"))
            digest = hashing.content_hash(content)
            names[name] = digest
            parts[digest] = content
    manifest = _manifest(revision, names)
    try:
        configuration = documents.read_configuration(manifest, parts)
    except FaultyDocumentError as error:
        raise FaultyDocumentError(faults + error.faults) from error
    if faults:
        raise FaultyDocumentError(faults)
    return Publication(manifest=manifest, parts=parts, configuration=configuration)


def write(publication: Publication, target: Path) -> None:
    """Write a publication into a directory, the manifest last."""
    (target / "parts").mkdir(parents=True, exist_ok=True)
    for digest, content in publication.parts.items():
        (target / "parts" / digest).write_bytes(content)
    # A reader sees the new manifest only when all its parts are there.
    fresh = target / "manifest.json.new"
    fresh.write_bytes(publication.manifest.content)
    fresh.replace(target / "manifest.json")


def read_published(directory: Path) -> Publication:
    """Read a published directory.

    Raises
    ------
    FaultyDocumentError
        If the manifest or a part is missing or faulty.
    """
    try:
        content = (directory / "manifest.json").read_bytes()
    except OSError as error:
        fault = Fault(str(directory), str(error.strerror), "a manifest.json")
        raise FaultyDocumentError([fault]) from error
    manifest = documents.read_manifest(content)
    parts = {
        digest: path.read_bytes()
        for digest in manifest.parts.values()
        if (path := directory / "parts" / digest).is_file()
    }
    configuration = documents.read_configuration(manifest, parts)
    return Publication(manifest=manifest, parts=parts, configuration=configuration)


def _read(source: Path, section: str, faults: list[Fault]) -> Any:
    path = source / f"{section}.yaml"
    if not path.is_file():
        if section == "platform":
            return {}
        faults.append(Fault(path.name, "no such file", "a YAML mapping"))
        return {}
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        mark = getattr(error, "problem_mark", None)
        line = f" in line {mark.line + 1}" if mark else ""
        faults.append(Fault(path.name, f"no valid YAML{line}", "a YAML mapping"))
        return {}


def _shards(section: str, value: Any) -> list[tuple[str, Any]]:
    if section not in _SHARDED or not isinstance(value, dict):
        return [(section, value)]
    # The number of shards is a power of two that grows with the entries, so that
    # a change of one entry changes one part only.
    count = 1
    while count * _SHARD_ENTRIES < len(value):
        count *= 2
    shards: list[dict[str, Any]] = [{} for _ in range(count)]
    for name, entry in value.items():
        shards[hashing.score(section, str(name)) % count][str(name)] = entry
    return [(f"{section}/{number:04}", shard) for number, shard in enumerate(shards)]


def _canonical(value: Any) -> bytes:
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


def _manifest(revision: int, names: dict[str, str]) -> Manifest:
    content = _canonical({"revision": revision, "parts": names})
    return documents.read_manifest(content)
