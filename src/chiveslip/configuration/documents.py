"""Parsing of the published documents: manifest, parts and the platform's two lists.

Validation depends on the documents alone, so every instance that reads them
accepts or rejects the same ones. Unknown keys are rejected in organisations, where
a misspelt limit would do harm, and ignored in the platform's lists, which may be
written by a newer release than the reader.
"""

from __future__ import annotations

from typing import final

import attrs

from chiveslip import hashing
from chiveslip.configuration.document_reader import ErrorDetail
from chiveslip.configuration.document_reader import InvalidDocumentError
from chiveslip.configuration.document_reader import MappingReader
from chiveslip.configuration.model import Adapter
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.model import Endpoint
from chiveslip.configuration.model import EndpointKind
from chiveslip.configuration.model import EndpointList
from chiveslip.configuration.model import Instance
from chiveslip.configuration.model import InstanceList
from chiveslip.configuration.model import Key
from chiveslip.configuration.model import Organisation
from chiveslip.configuration.model import Route
from chiveslip.configuration.model import State
from chiveslip.configuration.model import WeightStore
from chiveslip.configuration.render import Template
from chiveslip.configuration.render import read_template
from chiveslip.configuration.render import render

MANIFEST = "manifest"
INSTANCES = "instances"
ENDPOINTS = "endpoints"
SECTIONS = ("templates", "organisations", "adapters", "routes", "platform")
# Fencing numbers, which are revisions times 2**20, then fit in 64 bits.
MAX_REVISION = 2**43
_MAX_NUMBER = 1_000_000


@attrs.frozen(kw_only=True)
class Manifest:
    """A revision and the content hash of each of its parts.

    Attributes
    ----------
    parts
        Content hash of each part by its name, such as ``organisations/0000``.
    content
        The manifest as it was published.
    """

    revision: int
    parts: dict[str, str]
    content: bytes


def read_manifest(content: bytes) -> Manifest:
    """Parse a manifest.

    Raises
    ------
    InvalidDocumentError
        If `content` is not a valid manifest.
    """
    errors: list[ErrorDetail] = []
    reader = MappingReader.of_json(content, MANIFEST, errors)
    parts = reader.nested_reader("parts")
    manifest = Manifest(
        revision=reader.read_integer("revision", 1, MAX_REVISION),
        parts={name: parts.read_string(name) for name in parts.keys},
        content=content,
    )
    for name in manifest.parts:
        if name.partition("/")[0] not in SECTIONS:
            parts.add_error(name, "an unknown part", "one of " + ", ".join(SECTIONS))
    _raise_if_any(errors)
    return manifest


def read_configuration(
    manifest: Manifest, parts: dict[str, bytes], cache: PartCache | None = None
) -> Configuration:
    """Parse all parts of a manifest and render the configuration.

    Parameters
    ----------
    parts
        Content of each part by its content hash.
    cache
        Parsed parts of earlier revisions; only changed parts are parsed again.

    Raises
    ------
    InvalidDocumentError
        If any part is missing, altered or invalid; it lists all errors.
    """
    cache = PartCache() if cache is None else cache
    errors: list[ErrorDetail] = []
    # Organisations refer to templates, so the templates are parsed first.
    ordered = sorted(manifest.parts.items(), key=lambda item: item[0] != "templates")
    templates: dict[str, Template] = {}
    organisations: dict[str, Organisation] = {}
    adapters: dict[str, Adapter] = {}
    routes: list[Route] = []
    weight_store = WeightStore(loads_per_s=2, loads_in_flight=8)
    for name, digest in ordered:
        read = cache.read(name, digest, parts.get(digest), templates)
        errors.extend(read.errors)
        templates.update(read.templates)
        organisations.update(read.organisations)
        adapters.update(read.adapters)
        routes.extend(read.routes)
        weight_store = read.weight_store or weight_store
    cache.evict_except(set(manifest.parts.values()))
    configuration = Configuration(
        revision=manifest.revision,
        organisations=organisations,
        adapters=adapters,
        routes=tuple(routes),
        weight_store=weight_store,
        keys=_index_keys(organisations, errors),
    )
    _raise_if_any(errors)
    return configuration


@attrs.frozen(kw_only=True)
class PartContent:
    """Parsed content of one part; only the fields of its section are filled."""

    templates: dict[str, Template] = attrs.field(factory=dict)
    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    adapters: dict[str, Adapter] = attrs.field(factory=dict)
    routes: tuple[Route, ...] = ()
    weight_store: WeightStore | None = None
    errors: tuple[ErrorDetail, ...] = ()


@final
class PartCache:
    """Parsed parts by name, content hash and the templates they depend on."""

    def __init__(self) -> None:
        self._cached: dict[tuple[str, str, int], PartContent] = {}
        # Set 0 is the empty one, with which parts before the templates are parsed.
        self._template_sets: list[dict[str, Template]] = []

    def read(
        self,
        name: str,
        digest: str,
        content: bytes | None,
        templates: dict[str, Template],
    ) -> PartContent:
        """Return the parsed part, from the cache if possible."""
        key = (name, digest, self._register_template_set(templates))
        cached = self._cached.get(key)
        if cached is None:
            cached = _read_part(name, digest, content, templates)
            self._cached[key] = cached
        return cached

    def evict_except(self, digests: set[str]) -> None:
        """Drop parts that the newest revision does not contain."""
        newest = len(self._template_sets) - 1
        self._cached = {
            key: part
            for key, part in self._cached.items()
            if key[1] in digests and key[2] in (0, newest)
        }

    def _register_template_set(self, templates: dict[str, Template]) -> int:
        if not self._template_sets:
            self._template_sets.append({})
        if not templates:
            return 0
        if self._template_sets[-1] != templates:
            self._template_sets.append(dict(templates))
        return len(self._template_sets) - 1


def _read_part(
    name: str, digest: str, content: bytes | None, templates: dict[str, Template]
) -> PartContent:
    if content is None or hashing.content_hash(content) != digest:
        return PartContent(
            errors=(ErrorDetail(name, "a missing or altered part", digest),)
        )
    errors: list[ErrorDetail] = []
    reader = MappingReader.of_json(content, name, errors)
    section = name.partition("/")[0]
    if section == "templates":
        found = PartContent(
            templates={key: read_template(key, r) for key, r in reader.nested_readers()}
        )
    elif section == "organisations":
        found = PartContent(
            organisations={
                k: render(k, r, templates) for k, r in reader.nested_readers()
            }
        )
    elif section == "adapters":
        found = PartContent(
            adapters={key: _read_adapter(key, r) for key, r in reader.nested_readers()}
        )
    elif section == "routes":
        found = PartContent(
            routes=tuple(_read_route(r) for r in reader.item_readers("routes"))
        )
    else:
        found = PartContent(weight_store=_read_weight_store(reader))
    return attrs.evolve(found, errors=tuple(errors))


def _index_keys(
    organisations: dict[str, Organisation], errors: list[ErrorDetail]
) -> dict[str, tuple[Organisation, Key]]:
    index: dict[str, tuple[Organisation, Key]] = {}
    for organisation in organisations.values():
        for key in organisation.keys:
            if key.hash in index:
                other = index[key.hash][0].name
                location = f"organisations.{organisation.name}.keys.{key.id}"
                errors.append(
                    ErrorDetail(
                        location, f"the key hash of {other}", "a unique key hash"
                    )
                )
            index[key.hash] = (organisation, key)
    return index


def _read_adapter(name: str, reader: MappingReader) -> Adapter:
    reader.reject_unknown_keys("base_model", "current", "versions")
    adapter = Adapter(
        name=name,
        base_model=reader.read_string("base_model"),
        current=reader.read_string("current"),
        versions=reader.read_strings("versions"),
    )
    if adapter.current not in adapter.versions:
        reader.add_error("current", repr(adapter.current), "one of the versions")
    if "@" in name:
        reader.add_error("", f"the name {name!r}", "a name without @")
    return adapter


def _read_route(reader: MappingReader) -> Route:
    reader.reject_unknown_keys(
        "prefix", "methods", "service", "idempotent", "open", "tokens"
    )
    prefix = reader.read_string("prefix")
    if not prefix.startswith("/") or prefix.startswith("/v1/"):
        reader.add_error(
            "prefix", repr(prefix), "a path that starts with / and lies outside /v1/"
        )
    return Route(
        prefix=prefix,
        methods=reader.read_strings("methods", ("GET",)),
        service=reader.read_string("service"),
        idempotent=reader.read_boolean("idempotent", False),
        open=reader.read_boolean("open", False),
        tokens=reader.read_number("tokens", 0, _MAX_NUMBER, 1),
    )


def _read_weight_store(platform: MappingReader) -> WeightStore:
    store = platform.nested_reader("weight_store")
    return WeightStore(
        loads_per_s=store.read_number("loads_per_s", 0.01, _MAX_NUMBER, 2),
        loads_in_flight=store.read_integer("loads_in_flight", 1, _MAX_NUMBER, 8),
    )


def read_instances(content: bytes) -> InstanceList:
    """Parse the platform's list of instances.

    Raises
    ------
    InvalidDocumentError
        If `content` is not a valid list.
    """
    errors: list[ErrorDetail] = []
    reader = MappingReader.of_json(content, INSTANCES, errors)
    revision = reader.read_integer("revision", 1, MAX_REVISION)
    instances = [_read_instance(r) for r in reader.item_readers("instances")]
    _raise_if_any(errors)
    return InstanceList(
        revision=revision, instances={entry.id: entry for entry in instances}
    )


def _read_instance(reader: MappingReader) -> Instance:
    return Instance(
        id=reader.read_string("id"),
        data_centre=reader.read_string("data_centre"),
        peers=reader.read_address("peers"),
        state=_read_state(reader),
    )


def read_endpoints(content: bytes) -> EndpointList:
    """Parse the platform's list of endpoints.

    Raises
    ------
    InvalidDocumentError
        If `content` is not a valid list.
    """
    errors: list[ErrorDetail] = []
    reader = MappingReader.of_json(content, ENDPOINTS, errors)
    revision = reader.read_integer("revision", 1, MAX_REVISION)
    endpoints = [_read_endpoint(r) for r in reader.item_readers("endpoints")]
    _raise_if_any(errors)
    return EndpointList(
        revision=revision, endpoints={entry.id: entry for entry in endpoints}
    )


def _read_endpoint(reader: MappingReader) -> Endpoint:
    kinds = tuple(kind.value for kind in EndpointKind)
    return Endpoint(
        id=reader.read_string("id"),
        kind=EndpointKind(reader.read_choice("kind", kinds, "service")),
        serves=reader.read_string("serves"),
        address=reader.read_address("address"),
        data_centre=reader.read_string("data_centre"),
        state=_read_state(reader),
        adapter_slots=reader.read_integer("adapter_slots", 0, _MAX_NUMBER, 0),
        concurrency=reader.read_integer("concurrency", 1, _MAX_NUMBER, 16),
        checks_fencing=reader.read_boolean("checks_fencing", False),
    )


def _read_state(reader: MappingReader) -> State:
    states = tuple(state.value for state in State)
    return State(reader.read_choice("state", states, "live"))


def _raise_if_any(errors: list[ErrorDetail]) -> None:
    if errors:
        raise InvalidDocumentError(errors)
