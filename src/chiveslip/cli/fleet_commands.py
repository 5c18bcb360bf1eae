"""Commands for running instances: status, wait, trace and audit."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Annotated
from typing import Any

import cappa

from chiveslip.cli import client
from chiveslip.cli import output
from chiveslip.cli.client import UnreachableError
from chiveslip.cli.configuration_commands import AsJson

_POLL_INTERVAL_S = 0.1

Instances = Annotated[
    list[str],
    cappa.Arg(help="Operators' addresses of the instances, as host:port.", num_args=-1),
]


@cappa.command(name="status")
@dataclass
class ShowStatus:
    """Show the status of one or more instances."""

    instances: Instances
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        answers = client.fetch(self.instances, "/status")
        statuses = {a: v for a, v in answers.items() if not _is_failure(v)}
        lines = [_format_status(a, v) for a, v in answers.items()]
        output.print_result(statuses, "\n".join(lines), as_json=self.json)
        if len(statuses) < len(answers):
            raise cappa.Exit(code=output.EXIT_UNREACHABLE)


@cappa.command(name="wait")
@dataclass
class Wait:
    """Wait until a revision is active on all named instances.

    Exit codes: 0 if it is active on all, 4 if it was refused or is not active before
    the timeout. The output then names each instance where it is not active, or the
    reasons of the refusal.
    """

    instances: Instances
    revision: Annotated[int, cappa.Arg(long=True, help="Revision to wait for.")]
    timeout: Annotated[float, cappa.Arg(long=True, help="Maximum wait in seconds.")] = (
        30.0
    )
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        ends_at = time.monotonic() + self.timeout
        while True:
            answers = client.fetch(self.instances, "/status")
            pending = self._describe_pending(answers)
            refused = self._describe_refusals(answers)
            if not pending:
                value: dict[str, Any] = {"in_force": True, "revision": self.revision}
                text = f"revision {self.revision} is active on all instances"
                output.print_result(value, text, as_json=self.json)
                return
            if refused or time.monotonic() >= ends_at:
                lines = refused or pending
                value = {"in_force": False, "reasons": lines}
                output.print_result(value, "\n".join(lines), as_json=self.json)
                raise cappa.Exit(code=output.EXIT_NOT_ACTIVE)
            time.sleep(_POLL_INTERVAL_S)

    def _describe_pending(self, answers: dict[str, Any]) -> list[str]:
        lines = []
        for address, answer in answers.items():
            if _is_failure(answer):
                lines.append(f"{address}: does not answer: {answer}")
            elif answer["configuration_revision"] < self.revision:
                active = answer["configuration_revision"]
                name = answer["instance"]
                lines.append(f"{address}: {name} has revision {active} active")
        return lines

    def _describe_refusals(self, answers: dict[str, Any]) -> list[str]:
        return [
            f"{address}: {answer['instance']} refused the revision: {reason}"
            for address, answer in answers.items()
            if not _is_failure(answer) and answer["newest_revision"] == self.revision
            for reason in answer["refused_because"]
        ]


@cappa.command(name="trace")
@dataclass
class ShowTrace:
    """Show the steps of a call from the instances that have its trace."""

    call: Annotated[str, cappa.Arg(help="Id of the call, from the header X-Call-Id.")]
    instances: Instances
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        answers = client.fetch(self.instances, f"/trace/{self.call}")
        found = {a: v for a, v in answers.items() if not _is_failure(v) and "code" in v}
        if not found:
            line = (
                f"no named instance has a trace; name the one that received {self.call}"
            )
            raise output.print_errors([line], output.EXIT_UNREACHABLE)
        lines = []
        for address, trace in found.items():
            lines.append(f"{address}: {trace['organisation'] or 'open'}")
            lines += [
                f"  {line['at_s']:10.6f} s  {line['step']}: {line['text']}"
                for line in trace["steps"]
            ]
        output.print_result(found, "\n".join(lines), as_json=self.json)


@cappa.command(name="audit")
@dataclass
class ShowAudit:
    """Show the newest lines of the audit trails of instances."""

    instances: Instances
    most: Annotated[
        int, cappa.Arg(long=True, help="Maximum number of lines per instance.")
    ] = 20
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        answers = client.fetch(self.instances, f"/audit?most={self.most}")
        lines = [
            line
            for answer in answers.values()
            if not _is_failure(answer)
            for line in answer
        ]
        lines.sort(key=lambda line: str(line["at"]))
        texts = [
            f"{line['at']} {line['instance']} {line['kind']}: {line['subject']} "
            f"(revision {line['revision']}): {line['cause']}"
            for line in lines
        ]
        output.print_result(lines, "\n".join(texts), as_json=self.json)
        if any(_is_failure(answer) for answer in answers.values()):
            raise cappa.Exit(code=output.EXIT_UNREACHABLE)


def _is_failure(answer: Any) -> bool:
    return isinstance(answer, UnreachableError)


def _format_status(address: str, status: Any) -> str:
    if _is_failure(status):
        return f"{address}: does not answer: {status}"
    state = "ready" if status["ready"] else "not ready"
    if status["stopping"]:
        state = "stopping"
    lease = "holds its lease" if status["lease"] else "fenced"
    return (
        f"{address}: {status['instance']} {state}, {lease}, "
        f"configuration {status['configuration_revision']}, "
        f"view {status['view_revision']}, {status['running_calls']} calls, "
        f"{len(status['engines'])} engines, {len(status['peers'])} peers known"
    )
