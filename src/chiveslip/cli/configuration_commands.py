"""Commands for configurations: check, render, diff and publish."""

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
# Used where a revision is required but not part of the result.
_PLACEHOLDER_REVISION = 1


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
            raise output.print_errors(
                [str(error) for error in loaded.failure()], output.EXIT_INVALID_INPUT
            )
        warnings = [str(warning) for warning in loaded.unwrap().warnings]
        text = "\n".join([*(f"warning: {w}" for w in warnings), f"{self.file}: ok"])
        output.print_result({"ok": True, "warnings": warnings}, text, as_json=self.json)


@cappa.command(name="check")
@dataclass
class Check:
    """Check a configuration and print all of its errors."""

    source: Source
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        configuration = _build(self.source, _PLACEHOLDER_REVISION).configuration
        counts = {
            "organisations": len(configuration.organisations),
            "adapters": len(configuration.adapters),
            "routes": len(configuration.routes),
            "keys": len(configuration.keys),
        }
        text = "ok: " + ", ".join(f"{n} {name}" for name, n in counts.items())
        output.print_result(counts, text, as_json=self.json)


@cappa.command(name="render")
@dataclass
class Render:
    """Show the organisations that result from templates and parameters."""

    source: Source
    organisation: Annotated[
        str | None, cappa.Arg(long=True, help="Show only this organisation.")
    ] = None
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        organisations = _build(
            self.source, _PLACEHOLDER_REVISION
        ).configuration.organisations
        selected = [
            organisation
            for name, organisation in sorted(organisations.items())
            if self.organisation in (None, name)
        ]
        lines = [
            f"{o.name}: template {o.template}, {o.rate:g} tokens/s, "
            f"burst {o.burst:g} tokens, priority {o.priority}, weight {o.weight:g}, "
            f"adapters {', '.join(o.adapters) or 'none'}, {len(o.keys)} keys"
            for o in selected
        ]
        values = [attrs.asdict(organisation) for organisation in selected]
        output.print_result(values, "\n".join(lines), as_json=self.json)


@cappa.command(name="diff")
@dataclass
class Diff:
    """Describe the changes from one published directory to another.

    Either may be a directory of YAML files instead.
    """

    old: Annotated[Path, cappa.Arg(help="Directory of the old revision.")]
    new: Annotated[Path, cappa.Arg(help="Directory of the new revision.")]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        lines = describe_differences(
            _load_configuration(self.old), _load_configuration(self.new)
        )
        output.print_result(
            lines, "\n".join(lines) or "no difference", as_json=self.json
        )


@cappa.command(name="publish")
@dataclass
class Publish:
    """Write the manifest and its parts for the configuration service."""

    source: Source
    target: Annotated[Path, cappa.Arg(help="Directory to write to.")]
    revision: Annotated[
        int | None,
        cappa.Arg(long=True, help="Revision; by default that of the target plus 1."),
    ] = None
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        previous = _published_revision(self.target)
        revision = previous + 1 if self.revision is None else self.revision
        if revision <= previous:
            line = f"revision {revision} must be above the published one, {previous}"
            raise output.print_errors([line], output.EXIT_INVALID_INPUT)
        publication = _build(self.source, revision)
        publish.write(publication, self.target)
        value = {"revision": revision, "parts": len(publication.parts)}
        text = f"revision {revision} with {len(publication.parts)} parts"
        output.print_result(value, text, as_json=self.json)


def _published_revision(target: Path) -> int:
    if not (target / "manifest.json").is_file():
        return 0
    return _exit_on_invalid_document(
        lambda: publish.read_published(target)
    ).manifest.revision


def _load_configuration(directory: Path) -> Configuration:
    if (directory / "manifest.json").is_file():
        return _exit_on_invalid_document(
            lambda: publish.read_published(directory)
        ).configuration
    return _build(directory, _PLACEHOLDER_REVISION).configuration


def _build(source: Path, revision: int) -> Publication:
    return _exit_on_invalid_document(lambda: publish.build(source, revision))


def _exit_on_invalid_document(action: Callable[[], Publication]) -> Publication:
    try:
        return action()
    except InvalidDocumentError as error:
        lines = [str(detail) for detail in error.errors]
        raise output.print_errors(lines, output.EXIT_INVALID_INPUT) from error
