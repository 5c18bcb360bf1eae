"""Commands for gateways: explain requests, departures and shortfalls, show metrics."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Annotated

import cappa
from prometheus_client.parser import text_string_to_metric_families

from chiveslip.cli import client
from chiveslip.cli import departures
from chiveslip.cli import output
from chiveslip.cli import request_report
from chiveslip.cli import shortfall
from chiveslip.cli.client import UnreachableError
from chiveslip.cli.configuration_commands import AsJson
from chiveslip.cli.request_report import LogLine

# Endpoints serve for at least two seconds after they said that they leave.
_DEFAULT_LATE_BOUND_S = 2.0
# A late answer of the users' routes earns a tenth.
_DEFAULT_LATE_SHARE = 0.1
# Metrics that show the health of a gateway, with their labels in the output.
_METRIC_LABELS = {
    "chiveslip_members": "live instances",
    "chiveslip_engines_ordered": "coordinated engines",
    "chiveslip_configuration_version": "configuration",
    "chiveslip_store_lost_seconds": "store lost (s)",
    "chiveslip_requests_running": "running requests",
}


@cappa.command(name="explain")
@dataclass
class Explain:
    """Explain the course of a request from the logs of one or more instances.

    Pass the logs of all instances: a caller's next attempt has another id and often
    goes to another instance.
    """

    request: Annotated[str, cappa.Arg(help="Id of the request, as the caller sent it.")]
    logs: Annotated[list[Path], cappa.Arg(help="Log files, one or more.")]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        lines = _read_logs(self.logs)
        report = request_report.build_report(self.request, lines)
        if report is None:
            message = (
                f"none of {len(lines)} log lines is about request {self.request}; "
                "give the logs of all instances, and of the time of the request"
            )
            raise output.print_errors([message], output.EXIT_UNREACHABLE)
        text = request_report.format_report(report)
        output.print_result(report.to_dict(), text, as_json=self.json)


@cappa.command(name="departures")
@dataclass
class Departures:
    """Show when each instance learnt that endpoints left, and what was sent too late.

    Pass the logs of all instances. A request is late if it was sent to an endpoint
    longer than the bound after the first instance learnt that the endpoint left.
    """

    logs: Annotated[list[Path], cappa.Arg(help="Log files, one or more.")]
    bound: Annotated[
        float,
        cappa.Arg(long=True, help="Seconds after which a request to it is late."),
    ] = _DEFAULT_LATE_BOUND_S
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        found = departures.find_departures(_read_logs(self.logs), self.bound)
        if not found:
            message = "no endpoint left; give the logs of all instances"
            raise output.print_errors([message], output.EXIT_UNREACHABLE)
        value = [departure.to_dict() for departure in found]
        text = departures.format_departures(found)
        output.print_result(value, text, as_json=self.json)


@cappa.command(name="shortfall")
@dataclass
class Shortfall:
    """Show what was not answered in time, by data centre, route and cause.

    Pass the logs of all instances. Late answers of engines are shown by engine, with
    the estimate, the time that they took and the age of the engine's report.
    """

    logs: Annotated[list[Path], cappa.Arg(help="Log files, one or more.")]
    worth: Annotated[
        list[str],
        cappa.Arg(long=True, help="ROUTE=WORTH of a request, 1 by default."),
    ] = field(default_factory=list)
    target: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help="ROUTE=SECONDS to the first event, for logs without targets.",
        ),
    ] = field(default_factory=list)
    late_share: Annotated[
        float,
        cappa.Arg(long=True, help="Share of its worth that a late answer earns."),
    ] = _DEFAULT_LATE_SHARE
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        found = shortfall.find_shortfall(
            _read_logs(self.logs),
            worths=_parse_numbers(self.worth),
            late_share=self.late_share,
            targets_s=_parse_numbers(self.target),
        )
        if not found.total.requests:
            message = "no request ended; give the logs of all instances"
            raise output.print_errors([message], output.EXIT_UNREACHABLE)
        text = shortfall.format_shortfall(found)
        output.print_result(found.to_dict(), text, as_json=self.json)


def _parse_numbers(arguments: list[str]) -> dict[str, float]:
    """Return the numbers of arguments such as ``ROUTE=2.0``, by route."""
    numbers = {}
    for argument in arguments:
        route, _, number = argument.rpartition("=")
        try:
            numbers[route] = float(number)
        except ValueError as error:
            errors = [f"{argument}: give ROUTE=NUMBER, such as draft=2.0"]
            raise output.print_errors(errors, output.EXIT_INVALID_INPUT) from error
    return numbers


def _read_logs(paths: list[Path]) -> list[LogLine]:
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            errors = [f"{path}: {error.strerror}; give a readable log file"]
            raise output.print_errors(errors, output.EXIT_INVALID_INPUT) from error
        lines += request_report.parse_lines(text.splitlines(), path.name)
    return lines


@cappa.command(name="gateway-status")
@dataclass
class GatewayStatus:
    """Show the state of gateways from their metrics addresses."""

    addresses: Annotated[
        list[str], cappa.Arg(help="Metrics addresses, such as 10.1.0.25:7600.")
    ]
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        metrics: dict[str, dict[str, float]] = {}
        errors = []
        bodies = asyncio.run(client.fetch_bodies(self.addresses, "/metrics"))
        for address, body in bodies.items():
            try:
                metrics[address] = _parse_metrics(body)
            except (ValueError, UnreachableError) as error:
                errors.append(
                    f"{address}: {error}; check that a gateway serves metrics there"
                )
        rows = [
            f"{address}: "
            + ", ".join(f"{_METRIC_LABELS[k]} {v:g}" for k, v in values.items())
            for address, values in metrics.items()
        ]
        output.print_result(metrics, "\n".join(rows), as_json=self.json)
        if errors:
            raise output.print_errors(errors, output.EXIT_UNREACHABLE)


def _parse_metrics(body: bytes | UnreachableError) -> dict[str, float]:
    if isinstance(body, UnreachableError):
        raise body
    text = body.decode()
    return {
        sample.name: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name in _METRIC_LABELS
    }
