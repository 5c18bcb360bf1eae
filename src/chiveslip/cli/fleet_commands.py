"""Commands on running instances: status, wait, trace, audit."""

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

_POLL_S = 0.1

Instances = Annotated[
    list[str],
    cappa.Arg(help="Operators' addresses of the instances, host:port.", num_args=-1),
]


@cappa.command(name="status")
@dataclass
class ShowStatus:
    """Show the status of instances; of the fleet when all are named."""

    instances: Instances
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        answers = client.read(self.instances, "/status")
        good = {a: v for a, v in answers.items() if not _failed(v)}
        lines = [_status_line(a, v) for a, v in answers.items()]
        output.show(good, "\n".join(lines), as_json=self.json)
        if len(good) < len(answers):
            raise cappa.Exit(code=output.EXIT_UNREACHABLE)


@cappa.command(name="wait")
@dataclass
class Wait:
    """Wait until a revision is in force on all named instances.

    Exit codes: 0 in force everywhere, 4 refused or not in force in time; the
    output names the instance that holds it up, or why it was refused.
    """

    instances: Instances
    revision: Annotated[int, cappa.Arg(long=True, help="Revision to wait for.")]
    timeout: Annotated[float, cappa.Arg(long=True, help="Longest wait in seconds.")] = (
        30.0
    )
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        ends_at = time.monotonic() + self.timeout
        while True:
            answers = client.read(self.instances, "/status")
            behind = self._behind(answers)
            refused = self._refused(answers)
            if not behind:
                value: dict[str, Any] = {"in_force": True, "revision": self.revision}
                text = f"revision {self.revision} is in force on all instances"
                output.show(value, text, as_json=self.json)
                return
            if refused or time.monotonic() >= ends_at:
                lines = refused or behind
                value = {"in_force": False, "reasons": lines}
                output.show(value, "\n".join(lines), as_json=self.json)
                raise cappa.Exit(code=output.EXIT_NOT_IN_FORCE)
            time.sleep(_POLL_S)

    def _behind(self, answers: dict[str, Any]) -> list[str]:
        lines = []
        for address, answer in answers.items():
            if _failed(answer):
                lines.append(f"{address}: does not answer: {answer}")
            elif answer["configuration_revision"] < self.revision:
                in_force = answer["configuration_revision"]
                name = answer["instance"]
                lines.append(f"{address}: {name} has revision {in_force} in force")
        return lines

    def _refused(self, answers: dict[str, Any]) -> list[str]:
        return [
            f"{address}: {answer['instance']} refused it: {reason}"
            for address, answer in answers.items()
            if not _failed(answer) and answer["newest_revision"] == self.revision
            for reason in answer["refused_because"]
        ]


@cappa.command(name="trace")
@dataclass
class ShowTrace:
    """Show the steps of one call, wherever it was served."""

    call: Annotated[str, cappa.Arg(help="The call's id, from X-Call-Id.")]
    instances: Instances
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        answers = client.read(self.instances, f"/trace/{self.call}")
        found = {a: v for a, v in answers.items() if not _failed(v) and "code" in v}
        if not found:
            line = f"no instance holds a trace of {self.call}"
            raise output.fail([line], output.EXIT_UNREACHABLE)
        lines = []
        for address, trace in found.items():
            lines.append(f"{address}: {trace['organisation'] or 'open'}")
            lines += [
                f"  {line['at_s']:10.6f} s  {line['step']}: {line['text']}"
                for line in trace["steps"]
            ]
        output.show(found, "\n".join(lines), as_json=self.json)


@cappa.command(name="audit")
@dataclass
class ShowAudit:
    """Show the newest lines of the audit trail of instances."""

    instances: Instances
    most: Annotated[int, cappa.Arg(long=True, help="Most lines per instance.")] = 20
    json: AsJson = False

    def __call__(self) -> None:
        """Run the command."""
        answers = client.read(self.instances, f"/audit?most={self.most}")
        lines = [
            line
            for answer in answers.values()
            if not _failed(answer)
            for line in answer
        ]
        lines.sort(key=lambda line: str(line["at"]))
        texts = [
            f"{line['at']} {line['instance']} {line['kind']}: {line['subject']} "
            f"(revision {line['revision']}): {line['cause']}"
            for line in lines
        ]
        output.show(lines, "\n".join(texts), as_json=self.json)
        if any(_failed(answer) for answer in answers.values()):
            raise cappa.Exit(code=output.EXIT_UNREACHABLE)


def _failed(answer: Any) -> bool:
    return isinstance(answer, UnreachableError)


def _status_line(address: str, status: Any) -> str:
    if _failed(status):
        return f"{address}: does not answer: {status}"
    state = "ready" if status["ready"] else "not ready"
    if status["stopping"]:
        state = "stopping"
    lease = "holds its lease" if status["lease"] else "fenced"
    return (
        f"{address}: {status['instance']} {state}, {lease}, "
        f"configuration {status['configuration_revision']}, "
        f"view {status['view_revision']}, {status['running_calls']} calls, "
        f"{len(status['engines'])} engines, {len(status['peers'])} peers heard"
    )
