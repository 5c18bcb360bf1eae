"""Published documents: manifest, parts, and the platform's two lists.

The check depends on the documents alone, so every instance that reads them
accepts or refuses them alike. Keys that a reader does not know are refused in
organisations, where a misspelt limit would do harm, and ignored in the
platform's lists, which may be newer than the reader.
"""

from __future__ import annotations

from typing import final

import attrs

from chiveslip import hashing
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
from chiveslip.configuration.reading import Fault
from chiveslip.configuration.reading import FaultyDocumentError
from chiveslip.configuration.reading import Reader
from chiveslip.configuration.render import Template
from chiveslip.configuration.render import read_template
from chiveslip.configuration.render import render

MANIFEST = "manifest"
INSTANCES = "instances"
ENDPOINTS = "endpoints"
SECTIONS = ("templates", "organisations", "adapters", "routes", "platform")
HIGHEST_REVISION = 2**43
_MOST = 1_000_000


@attrs.frozen(kw_only=True)
class Manifest:
    """A revision and the content hash of each of its parts."""

    revision: int
    parts: dict[str, str]
    content: bytes


def read_manifest(content: bytes) -> Manifest:
    """Read a manifest.

    Raises
    ------
    FaultyDocumentError
        If it is no manifest.
    """
    faults: list[Fault] = []
    reader = Reader.of_json(content, MANIFEST, faults)
    parts = reader.inner("parts")
    manifest = Manifest(
        revision=reader.count("revision", 1, HIGHEST_REVISION),
        parts={name: parts.text(name) for name in parts.names},
        content=content,
    )
    for name in manifest.parts:
        if name.partition("/")[0] not in SECTIONS:
            parts.fault(name, "an unknown part", "one of " + ", ".join(SECTIONS))
    _refuse_if(faults)
    return manifest


def read_configuration(
    manifest: Manifest, parts: dict[str, bytes], memo: PartMemo | None = None
) -> Configuration:
    """Read and render a whole configuration; `parts` are keyed by content hash.

    Parameters
    ----------
    memo
        What parts read as before; only changed parts are read anew.

    Raises
    ------
    FaultyDocumentError
        If any part is missing, altered or faulty; it has all faults.
    """
    memo = PartMemo() if memo is None else memo
    faults: list[Fault] = []
    # Organisations depend on the templates, so these are read first.
    ordered = sorted(manifest.parts.items(), key=lambda item: item[0] != "templates")
    templates: dict[str, Template] = {}
    organisations: dict[str, Organisation] = {}
    adapters: dict[str, Adapter] = {}
    routes: list[Route] = []
    weight_store = WeightStore(loads_per_s=2, loads_in_flight=8)
    for name, digest in ordered:
        read = memo.read(name, digest, parts.get(digest), templates)
        faults.extend(read.faults)
        templates.update(read.templates)
        organisations.update(read.organisations)
        adapters.update(read.adapters)
        routes.extend(read.routes)
        weight_store = read.weight_store or weight_store
    memo.keep_only(set(manifest.parts.values()))
    configuration = Configuration(
        revision=manifest.revision,
        organisations=organisations,
        adapters=adapters,
        routes=tuple(routes),
        weight_store=weight_store,
        keys=_index_keys(organisations, faults),
    )
    _refuse_if(faults)
    return configuration


@attrs.frozen(kw_only=True)
class PartContent:
    """What one part reads as; most fields are empty."""

    templates: dict[str, Template] = attrs.field(factory=dict)
    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    adapters: dict[str, Adapter] = attrs.field(factory=dict)
    routes: tuple[Route, ...] = ()
    weight_store: WeightStore | None = None
    faults: tuple[Fault, ...] = ()


@final
class PartMemo:
    """What parts read as, by content hash and by the templates they depend on."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, str, int], PartContent] = {}
        self._template_sets: list[dict[str, Template]] = []

    def read(
        self,
        name: str,
        digest: str,
        content: bytes | None,
        templates: dict[str, Template],
    ) -> PartContent:
        """Return what a part reads as."""
        key = (name, digest, self._number_of(templates))
        known = self._known.get(key)
        if known is None:
            known = _read_part(name, digest, content, templates)
            self._known[key] = known
        return known

    def keep_only(self, digests: set[str]) -> None:
        """Forget parts that the newest revision does not have."""
        newest = len(self._template_sets) - 1
        self._known = {
            key: part
            for key, part in self._known.items()
            if key[1] in digests and key[2] in (0, newest)
        }

    def _number_of(self, templates: dict[str, Template]) -> int:
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
        return PartContent(faults=(Fault(name, "a missing or altered part", digest),))
    faults: list[Fault] = []
    reader = Reader.of_json(content, name, faults)
    section = name.partition("/")[0]
    if section == "templates":
        found = PartContent(
            templates={key: read_template(key, r) for key, r in reader.members()}
        )
    elif section == "organisations":
        found = PartContent(
            organisations={k: render(k, r, templates) for k, r in reader.members()}
        )
    elif section == "adapters":
        found = PartContent(
            adapters={key: _read_adapter(key, r) for key, r in reader.members()}
        )
    elif section == "routes":
        found = PartContent(
            routes=tuple(_read_route(r) for r in reader.items("routes"))
        )
    else:
        found = PartContent(weight_store=_read_weight_store(reader))
    return attrs.evolve(found, faults=tuple(faults))


def _index_keys(
    organisations: dict[str, Organisation], faults: list[Fault]
) -> dict[str, tuple[Organisation, Key]]:
    index: dict[str, tuple[Organisation, Key]] = {}
    for organisation in organisations.values():
        for key in organisation.keys:
            if key.hash in index:
                other = index[key.hash][0].name
                place = f"organisations.{organisation.name}.keys.{key.id}"
                faults.append(Fault(place, f"the key of {other}", "a key of its own"))
            index[key.hash] = (organisation, key)
    return index


def _read_adapter(name: str, reader: Reader) -> Adapter:
    reader.only("base_model", "current", "versions")
    adapter = Adapter(
        name=name,
        base_model=reader.text("base_model"),
        current=reader.text("current"),
        versions=reader.texts("versions"),
    )
    if adapter.current not in adapter.versions:
        reader.fault("current", repr(adapter.current), "one of the versions")
    if "@" in name:
        reader.fault("", f"the name {name!r}", "a name without @")
    return adapter


def _read_route(reader: Reader) -> Route:
    reader.only("prefix", "methods", "service", "idempotent", "open", "tokens")
    prefix = reader.text("prefix")
    if not prefix.startswith("/") or prefix.startswith("/v1/"):
        reader.fault("prefix", repr(prefix), "a path from /, outside /v1/")
    return Route(
        prefix=prefix,
        methods=reader.texts("methods", ("GET",)),
        service=reader.text("service"),
        idempotent=reader.flag("idempotent", False),
        open=reader.flag("open", False),
        tokens=reader.number("tokens", 0, _MOST, 1),
    )


def _read_weight_store(platform: Reader) -> WeightStore:
    store = platform.inner("weight_store")
    return WeightStore(
        loads_per_s=store.number("loads_per_s", 0.01, _MOST, 2),
        loads_in_flight=store.count("loads_in_flight", 1, _MOST, 8),
    )


def read_instances(content: bytes) -> InstanceList:
    """Read the platform's list of instances.

    Raises
    ------
    FaultyDocumentError
        If it is no such list.
    """
    faults: list[Fault] = []
    reader = Reader.of_json(content, INSTANCES, faults)
    revision = reader.count("revision", 1, HIGHEST_REVISION)
    instances = [_read_instance(r) for r in reader.items("instances")]
    _refuse_if(faults)
    return InstanceList(
        revision=revision, instances={entry.id: entry for entry in instances}
    )


def _read_instance(reader: Reader) -> Instance:
    return Instance(
        id=reader.text("id"),
        data_centre=reader.text("data_centre"),
        peers=reader.address("peers"),
        state=_state(reader),
    )


def read_endpoints(content: bytes) -> EndpointList:
    """Read the platform's list of endpoints.

    Raises
    ------
    FaultyDocumentError
        If it is no such list.
    """
    faults: list[Fault] = []
    reader = Reader.of_json(content, ENDPOINTS, faults)
    revision = reader.count("revision", 1, HIGHEST_REVISION)
    endpoints = [_read_endpoint(r) for r in reader.items("endpoints")]
    _refuse_if(faults)
    return EndpointList(
        revision=revision, endpoints={entry.id: entry for entry in endpoints}
    )


def _read_endpoint(reader: Reader) -> Endpoint:
    kinds = tuple(kind.value for kind in EndpointKind)
    return Endpoint(
        id=reader.text("id"),
        kind=EndpointKind(reader.choice("kind", kinds, "service")),
        serves=reader.text("serves"),
        address=reader.address("address"),
        data_centre=reader.text("data_centre"),
        state=_state(reader),
        adapter_slots=reader.count("adapter_slots", 0, _MOST, 0),
        concurrency=reader.count("concurrency", 1, _MOST, 16),
        checks_fencing=reader.flag("checks_fencing", False),
    )


def _state(reader: Reader) -> State:
    states = tuple(state.value for state in State)
    return State(reader.choice("state", states, "live"))


def _refuse_if(faults: list[Fault]) -> None:
    if faults:
        raise FaultyDocumentError(faults)
