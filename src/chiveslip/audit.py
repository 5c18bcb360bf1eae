"""The audit trail: every change seen and every order given, with its cause."""

from __future__ import annotations

import collections
import datetime
import enum
import json

import attrs

from chiveslip import logs


class AuditKind(enum.Enum):
    """What an audit line tells of."""

    CONFIGURATION_ACCEPTED = "configuration accepted"
    CONFIGURATION_REFUSED = "configuration refused"
    KEY_ISSUED = "key issued"
    KEY_WITHDRAWN = "key withdrawn"
    ORDER = "order"
    OWNERSHIP = "ownership"


@attrs.frozen(kw_only=True)
class AuditLine:
    """One line of the trail; `at` is wall time, for readers only."""

    at: str
    instance: str
    kind: AuditKind
    revision: int
    subject: str
    cause: str

    def to_json(self) -> str:
        """Return the line as one JSON object."""
        fields = attrs.asdict(self) | {"kind": self.kind.value}
        return json.dumps(fields, sort_keys=True)


class AuditTrail:
    """Holds the newest lines in memory and writes each to the log.

    Instances keep nothing, so the log is the lasting copy.
    """

    def __init__(self, instance: str, capacity: int) -> None:
        self._instance = instance
        self._lines: collections.deque[AuditLine] = collections.deque(maxlen=capacity)
        self._log = logs.get_logger("audit")

    @property
    def lines(self) -> tuple[AuditLine, ...]:
        """The lines held, oldest first."""
        return tuple(self._lines)

    def add(self, kind: AuditKind, *, revision: int, subject: str, cause: str) -> None:
        """Add one line."""
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
