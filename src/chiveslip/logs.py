"""Set-up of logging: one format for the whole process, a prefix for each part."""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Iterable
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
    """Configure the logging of this process.

    Parameters
    ----------
    form
        ``json`` for machines, ``console`` for people.
    level
        Lowest level that is written: ``debug``, ``info``, ``warning`` or ``error``.
    to_standard_output
        Whether lines go to standard output without blocking, instead of to standard
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
            _add_part_prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=factory,
    )
    # These libraries log single connections, which is useful for debugging only.
    for name in ("tornado.access", "tornado.general", "tornado.application", "hpack"):
        logging.getLogger(name).setLevel(logging.CRITICAL)


def flush() -> None:
    """Write lines that are still queued because the output was blocked."""
    for output in _outputs:
        output.flush()


def dropped_lines() -> dict[str, int]:
    """Return the number of dropped lines by level; empty without a queued output."""
    return dict(_outputs[0].dropped) if _outputs else {}


@final
class _QueueLogger:
    """Passes lines to a non-blocking output."""

    def __init__(self, output: LogOutput) -> None:
        self._output = output

    def info(self, line: str) -> None:
        self._output.put(line, is_failure=False)

    def warning(self, line: str) -> None:
        self._output.put(line, is_failure=True)

    debug = info
    error = critical = exception = warning


@final
class _QueueLoggerFactory:
    """Creates loggers that share one output."""

    def __init__(self, output: LogOutput) -> None:
        self._output = output

    def __call__(self, *_names: object) -> _QueueLogger:
        return _QueueLogger(self._output)


def warn_of_replaced_settings(warnings: Iterable[object]) -> None:
    """Log each invalid setting that was replaced at the load of the settings."""
    for warning in warnings:
        get_logger("daemon").warning(
            "Invalid setting was replaced; correct it.", fault=str(warning)
        )


def get_logger(part: str) -> structlog.typing.FilteringBoundLogger:
    """Return a part's logger; each of its events starts with the part's name."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(part=part)
    return logger


def _add_part_prefix(
    _logger: object, _method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    part = event.pop("part", "daemon")
    event["event"] = f"{part}: {event['event']}"
    return event
