"""Log lines: one form for the whole daemon, a fixed prefix for each part."""

from __future__ import annotations

import logging
import os
import sys
from typing import final

import structlog

from chiveslip.log_output import LogOutput

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


_outputs: list[LogOutput] = []


def configure(form: str, level: str, *, to_standard_output: bool = False) -> None:
    """Set up the log lines of this process.

    Parameters
    ----------
    form
        ``json`` for machines, ``console`` for people.
    level
        Lowest level that is written.
    to_standard_output
        Whether lines go to standard output and never block, rather than to standard
        error.
    """
    factory: structlog.typing.WrappedLogger = structlog.PrintLoggerFactory(sys.stderr)
    if to_standard_output:
        descriptor = sys.stdout.fileno()
        os.set_blocking(descriptor, False)
        _outputs[:] = [LogOutput(descriptor)]
        factory = _QueueLoggerFactory(_outputs[0])
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if form == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=factory,
    )
    # The libraries below speak of single connections, which is for debugging only.
    for name in ("tornado.access", "tornado.general", "tornado.application", "hpack"):
        logging.getLogger(name).setLevel(logging.CRITICAL)


def flush() -> None:
    """Write lines that a blocked output left waiting."""
    for output in _outputs:
        output.flush()


def dropped() -> dict[str, int]:
    """Return how many lines were dropped, by level."""
    return dict(_outputs[0].dropped) if _outputs else {}


@final
class _QueueLogger:
    """Hands lines to an output that does not block."""

    def __init__(self, output: LogOutput) -> None:
        self._output = output

    def info(self, line: str) -> None:
        self._output.put(line, tells_of_failure=False)

    def warning(self, line: str) -> None:
        self._output.put(line, tells_of_failure=True)

    debug = info
    error = critical = exception = warning


@final
class _QueueLoggerFactory:
    """Makes loggers that share one output."""

    def __init__(self, output: LogOutput) -> None:
        self._output = output

    def __call__(self, *_names: object) -> _QueueLogger:
        return _QueueLogger(self._output)


def get_logger(part: str) -> structlog.typing.FilteringBoundLogger:
    """Return the logger of a part; each of its lines begins with the part's name."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(part=part)
    return logger


def _prefix(
    _logger: object, _method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    part = event.pop("part", "daemon")
    event["event"] = f"{part}: {event['event']}"
    return event
