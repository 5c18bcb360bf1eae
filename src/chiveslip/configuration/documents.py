"""Published documents: manifest, parts, and the platform's two lists.

The check depends on the documents alone, so every instance that reads them
accepts or refuses them alike. Keys that a reader does not know are refused in
organisations, where a misspelt limit would do harm, and ignored in the
platform's lists, which may be newer than the reader.
"""

from __future__ import annotations

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


def read_configuration(manifest: Manifest, parts: dict[str, bytes]) -> Configuration:
    """Read and render a whole configuration; `parts` are keyed by content hash.

    Raises
    ------
    FaultyDocumentError
        If any part is missing, altered or faulty; it has all faults.
    """
    faults: list[Fault] = []
    sections = _sections(manifest, parts, faults)
    templates = {
        name: read_template(name, reader)
        for part in sections["templates"]
        for name, reader in part.members()
    }
    organisations = {
        name: render(name, reader, templates)
        for part in sections["organisations"]
        for name, reader in part.members()
    }
    adapters = {
        name: _read_adapter(name, reader)
        for part in sections["adapters"]
        for name, reader in part.members()
    }
    routes = [
        _read_route(r) for part in sections["routes"] for r in part.items("routes")
    ]
    configuration = Configuration(
        revision=manifest.revision,
        organisations=organisations,
        adapters=adapters,
        routes=tuple(routes),
        weight_store=_read_weight_store(sections["platform"]),
        keys=_index_keys(organisations, faults),
    )
    _refuse_if(faults)
    return configuration


def _sections(
    manifest: Manifest, parts: dict[str, bytes], faults: list[Fault]
) -> dict[str, list[Reader]]:
    sections: dict[str, list[Reader]] = {name: [] for name in SECTIONS}
    for name, digest in sorted(manifest.parts.items()):
        content = parts.get(digest)
        if content is None or hashing.content_hash(content) != digest:
            faults.append(Fault(name, "a missing or altered part", digest))
            continue
        section = name.partition("/")[0]
        sections[section].append(Reader.of_json(content, name, faults))
    return sections


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


def _read_weight_store(parts: list[Reader]) -> WeightStore:
    platform = parts[0] if parts else Reader({}, "platform", [])
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
