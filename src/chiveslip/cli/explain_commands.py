"""Commands on gateways: explain a request from logs, show what gateways measure."""

from __future__ import annotations

import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from prometheus_client.parser import text_string_to_metric_families

from chiveslip.cli import output
from chiveslip.cli import request_story
from chiveslip.cli.configuration_commands import AsJson
from chiveslip.cli.request_story import LogLine

_TIMEOUT_S = 3.0
# Metrics of a gateway that say whether it is well, with the words shown for them.
_SHOWN = {
    "chiveslip_members": "instances alive",
    "chiveslip_engines_ordered": "engines ordered at",
    "chiveslip_configuration_version": "configuration",
    "chiveslip_store_lost_seconds": "store lost (s)",
    "chiveslip_requests_running": "requests running",
}


@cappa.command(name="explain")
@dataclass
class Explain:
    """Tell the way of one request from the logs of one or more instances.

    Give the logs of all instances: a caller's next try has another id and often goes
    to another instance.
    """

    request: Annotated[str, cappa.Arg(help="Id of the request, as its caller sent it.")]
    logs: Annotated[list[Path], cappa.Arg(help="Log files, one or more.")]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        lines: list[LogLine] = []
        for path in self.logs:
            try:
                text = path.read_text(encoding="utf-8", errors="replace")
            except OSError as error:
                faults = [f"{path}: {error.strerror}; give a readable log file"]
                raise output.fail(faults, output.EXIT_FAULTY) from error
            lines += request_story.read_lines(text.splitlines(), path.name)
        story = request_story.tell(self.request, lines)
        if story is None:
            fault = (
                f"no line of {len(lines)} names request {self.request}; "
                "give the logs of all instances, and of the time of the request"
            )
            raise output.fail([fault], output.EXIT_UNREACHABLE)
        text = request_story.to_text(story)
        output.show(story.to_dict(), text, as_json=self.json)


@cappa.command(name="gateway-status")
@dataclass
class GatewayStatus:
    """Show what gateways say of themselves at their metrics addresses."""

    addresses: Annotated[
        list[str], cappa.Arg(help="Metrics addresses, such as 10.1.0.25:7600.")
    ]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        found: dict[str, dict[str, float]] = {}
        faults = []
        for address in self.addresses:
            try:
                found[address] = _read(address)
            except (OSError, ValueError, urllib.error.URLError) as error:
                faults.append(f"{address}: {error}; is the gateway running there?")
        rows = [
            f"{address}: " + ", ".join(f"{_SHOWN[k]} {v:g}" for k, v in values.items())
            for address, values in found.items()
        ]
        output.show(found, "\n".join(rows), as_json=self.json)
        if faults:
            raise output.fail(faults, output.EXIT_UNREACHABLE)


def _read(address: str) -> dict[str, float]:
    url = f"http://{address}/metrics"
    with urllib.request.urlopen(url, timeout=_TIMEOUT_S) as answer:
        text = answer.read().decode()
    return {
        sample.name: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name in _SHOWN
    }
