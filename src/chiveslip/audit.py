"""Audit trail of observed changes and given orders, each with its cause."""

from __future__ import annotations

import collections
import datetime
import enum
import json

import attrs

from chiveslip import logs


class AuditKind(enum.Enum):
    """Kind of event that an audit line records."""

    CONFIGURATION_ACCEPTED = "configuration accepted"
    CONFIGURATION_REFUSED = "configuration refused"
    KEY_ISSUED = "key issued"
    KEY_WITHDRAWN = "key withdrawn"
    ORDER = "order"
    OWNERSHIP = "ownership"


@attrs.frozen(kw_only=True)
class AuditLine:
    """One line of the audit trail.

    Attributes
    ----------
    at
        Wall-clock time in UTC, in ISO 8601. No decision depends on it.
    revision
        Revision of the document that caused the change or order.
    subject
        What was changed or ordered.
    """

    at: str
    instance: str
    kind: AuditKind
    revision: int
    subject: str
    cause: str

    def to_json(self) -> str:
        """Return the line as a JSON object."""
        fields = attrs.asdict(self) | {"kind": self.kind.value}
        return json.dumps(fields, sort_keys=True)


class AuditTrail:
    """Keeps the newest lines in memory and writes each line to the log.

    Instances store nothing on disk, so the log is the only permanent copy.

    Parameters
    ----------
    capacity
        Maximum number of lines in memory.
    """

    def __init__(self, instance: str, capacity: int) -> None:
        self._instance = instance
        self._lines: collections.deque[AuditLine] = collections.deque(maxlen=capacity)
        self._log = logs.get_logger("audit")

    @property
    def lines(self) -> tuple[AuditLine, ...]:
        """Lines in memory, oldest first."""
        return tuple(self._lines)

    def add(self, kind: AuditKind, *, revision: int, subject: str, cause: str) -> None:
        """Add a line and log it."""
        now = datetime.datetime.now(datetime.UTC)
        line = AuditLine(
            at=now.isoformat(timespec="milliseconds"),
            instance=self._instance,
            kind=kind,
            revision=revision,
            subject=subject,
            cause=cause,
        )
        self._lines.append(line)
        self._log.info(
            kind.value, revision=revision, subject=subject, cause=cause, trail=True
        )
