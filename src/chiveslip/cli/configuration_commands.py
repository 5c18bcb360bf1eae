"""Commands on configurations: check, render, diff, publish."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import attrs
import cappa
from returns.result import Failure

from chiveslip.cli import output
from chiveslip.configuration import publish
from chiveslip.configuration.difference import describe_differences
from chiveslip.configuration.document_reader import InvalidDocumentError
from chiveslip.configuration.model import Configuration
from chiveslip.configuration.publish import Publication
from chiveslip.settings.check import load_settings

Source = Annotated[Path, cappa.Arg(help="Directory of the operators' YAML files.")]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]
_CHECK_REVISION = 1


@cappa.command(name="check-settings")
@dataclass
class CheckSettings:
    """Check a settings file of the daemon without starting it."""

    file: Annotated[Path, cappa.Arg(help="Settings file in YAML.")]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        loaded = load_settings(self.file)
        if isinstance(loaded, Failure):
            raise output.fail([str(f) for f in loaded.failure()], output.EXIT_FAULTY)
        output.show({"ok": True}, f"{self.file}: ok", as_json=self.json)


@cappa.command(name="check")
@dataclass
class Check:
    """Check a configuration and print all its faults at once."""

    source: Source
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        configuration = _build(self.source, _CHECK_REVISION).configuration
        counts = {
            "organisations": len(configuration.organisations),
            "adapters": len(configuration.adapters),
            "routes": len(configuration.routes),
            "keys": len(configuration.keys),
        }
        text = "ok: " + ", ".join(f"{n} {name}" for name, n in counts.items())
        output.show(counts, text, as_json=self.json)


@cappa.command(name="render")
@dataclass
class Render:
    """Show the organisations that templates and parameters render to."""

    source: Source
    organisation: Annotated[
        str | None, cappa.Arg(long=True, help="Show only this one.")
    ] = None
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        organisations = _build(self.source, _CHECK_REVISION).configuration.organisations
        chosen = [
            organisation
            for name, organisation in sorted(organisations.items())
            if self.organisation in (None, name)
        ]
        lines = [
            f"{o.name}: template {o.template}, {o.rate:g} tokens/s, "
            f"burst {o.burst:g} tokens, priority {o.priority}, weight {o.weight:g}, "
            f"adapters {', '.join(o.adapters) or 'none'}, {len(o.keys)} keys"
            for o in chosen
        ]
        values = [attrs.asdict(organisation) for organisation in chosen]
        output.show(values, "\n".join(lines), as_json=self.json)


@cappa.command(name="diff")
@dataclass
class Diff:
    """Say in words what changes from one published directory to another.

    Either side may be a directory of YAML files instead.
    """

    old: Annotated[Path, cappa.Arg(help="Directory of the old revision.")]
    new: Annotated[Path, cappa.Arg(help="Directory of the new revision.")]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        lines = describe_differences(_configuration(self.old), _configuration(self.new))
        output.show(lines, "\n".join(lines) or "no difference", as_json=self.json)


@cappa.command(name="publish")
@dataclass
class Publish:
    """Write a manifest and its parts, ready for the configuration service."""

    source: Source
    target: Annotated[Path, cappa.Arg(help="Directory to write into.")]
    revision: Annotated[
        int | None,
        cappa.Arg(long=True, help="Revision; by default one above the target's."),
    ] = None
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        previous = _previous_revision(self.target)
        revision = previous + 1 if self.revision is None else self.revision
        if revision <= previous:
            line = f"revision {revision} is not above {previous}, which is published"
            raise output.fail([line], output.EXIT_FAULTY)
        publication = _build(self.source, revision)
        publish.write(publication, self.target)
        value = {"revision": revision, "parts": len(publication.parts)}
        text = f"revision {revision} with {len(publication.parts)} parts"
        output.show(value, text, as_json=self.json)


def _previous_revision(target: Path) -> int:
    if not (target / "manifest.json").is_file():
        return 0
    return _guard(lambda: publish.read_published(target)).manifest.revision


def _configuration(directory: Path) -> Configuration:
    if (directory / "manifest.json").is_file():
        return _guard(lambda: publish.read_published(directory)).configuration
    return _build(directory, _CHECK_REVISION).configuration


def _build(source: Path, revision: int) -> Publication:
    return _guard(lambda: publish.build(source, revision))


def _guard(action: Callable[[], Publication]) -> Publication:
    try:
        return action()
    except InvalidDocumentError as error:
        lines = [str(fault) for fault in error.errors]
        raise output.fail(lines, output.EXIT_FAULTY) from error
