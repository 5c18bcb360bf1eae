"""Builds a manifest with content-addressed parts from operators' YAML files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import attrs
import yaml

from chiveslip import hashing
from chiveslip.configuration import documents
from chiveslip.configuration.document_reader import ErrorDetail
from chiveslip.configuration.document_reader import InvalidDocumentError
from chiveslip.configuration.documents import Manifest
from chiveslip.configuration.model import Configuration

MAX_PART_BYTES = 256 * 1024
_SHARDED_SECTIONS = ("organisations", "adapters")
_MAX_MEAN_SHARD_ENTRIES = 100


@attrs.frozen(kw_only=True)
class Publication:
    """A manifest, its parts by content hash, and the rendered configuration."""

    manifest: Manifest
    parts: dict[str, bytes]
    configuration: Configuration


def build(source: Path, revision: int) -> Publication:
    """Build a publication from the YAML files in `source`.

    Raises
    ------
    InvalidDocumentError
        If a file is missing or invalid; it lists all errors.
    """
    errors: list[ErrorDetail] = []
    digests: dict[str, str] = {}
    parts: dict[str, bytes] = {}
    for section in documents.SECTIONS:
        for name, value in _split_into_shards(
            section, _read_section(source, section, errors)
        ):
            content = _encode_canonical(value)
            if len(content) > MAX_PART_BYTES:
                actual = f"{len(content)} bytes"
                errors.append(
                    ErrorDetail(name, actual, f"up to {MAX_PART_BYTES} bytes")
                )
            digest = hashing.content_hash(content)
            digests[name] = digest
            parts[digest] = content
    manifest = _build_manifest(revision, digests)
    try:
        configuration = documents.read_configuration(manifest, parts)
    except InvalidDocumentError as error:
        raise InvalidDocumentError(errors + error.errors) from error
    if errors:
        raise InvalidDocumentError(errors)
    return Publication(manifest=manifest, parts=parts, configuration=configuration)


def write(publication: Publication, target: Path) -> None:
    """Write a publication to the directory `target`, the manifest last."""
    (target / "parts").mkdir(parents=True, exist_ok=True)
    for digest, content in publication.parts.items():
        (target / "parts" / digest).write_bytes(content)
    # The manifest is replaced last, so that a reader never sees one without its parts.
    temporary = target / "manifest.json.new"
    temporary.write_bytes(publication.manifest.content)
    temporary.replace(target / "manifest.json")


def read_published(directory: Path) -> Publication:
    """Read a publication from a directory.

    Raises
    ------
    InvalidDocumentError
        If the manifest or a part is missing or invalid.
    """
    try:
        content = (directory / "manifest.json").read_bytes()
    except OSError as error:
        error_detail = ErrorDetail(
            str(directory), str(error.strerror), "a manifest.json"
        )
        raise InvalidDocumentError([error_detail]) from error
    manifest = documents.read_manifest(content)
    parts = {
        digest: path.read_bytes()
        for digest in manifest.parts.values()
        if (path := directory / "parts" / digest).is_file()
    }
    configuration = documents.read_configuration(manifest, parts)
    return Publication(manifest=manifest, parts=parts, configuration=configuration)


def _read_section(source: Path, section: str, errors: list[ErrorDetail]) -> Any:
    path = source / f"{section}.yaml"
    if not path.is_file():
        if section == "platform":
            return {}
        errors.append(ErrorDetail(path.name, "a missing file", "a YAML mapping"))
        return {}
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        mark = getattr(error, "problem_mark", None)
        line = f" in line {mark.line + 1}" if mark else ""
        errors.append(ErrorDetail(path.name, f"invalid YAML{line}", "a YAML mapping"))
        return {}


def _split_into_shards(section: str, value: Any) -> list[tuple[str, Any]]:
    if section not in _SHARDED_SECTIONS or not isinstance(value, dict):
        return [(section, value)]
    # An entry's shard depends on its name and on the number of shards, which is a
    # power of two and grows with the number of entries. A change of one entry thus
    # changes one part only, until the number of shards doubles.
    count = 1
    while count * _MAX_MEAN_SHARD_ENTRIES < len(value):
        count *= 2
    shards: list[dict[str, Any]] = [{} for _ in range(count)]
    for name, entry in value.items():
        shards[hashing.score(section, str(name)) % count][str(name)] = entry
    return [(f"{section}/{number:04}", shard) for number, shard in enumerate(shards)]


def _encode_canonical(value: Any) -> bytes:
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


def _build_manifest(revision: int, digests: dict[str, str]) -> Manifest:
    content = _encode_canonical({"revision": revision, "parts": digests})
    return documents.read_manifest(content)
