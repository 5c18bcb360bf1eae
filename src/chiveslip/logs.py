"""Log lines: one form for the whole daemon, a fixed prefix for each part."""

from __future__ import annotations

import logging
import sys

import structlog

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure(form: str, level: str) -> None:
    """Set up the log lines of this process.

    Parameters
    ----------
    form
        ``json`` for machines, ``console`` for people.
    level
        Lowest level that is written.
    """
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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    # The libraries below speak of single connections, which is for debugging only.
    for name in ("tornado.access", "tornado.general", "tornado.application", "hpack"):
        logging.getLogger(name).setLevel(logging.CRITICAL)


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
