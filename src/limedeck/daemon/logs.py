"""Structured logs: one event name a line, with typed fields."""

from __future__ import annotations

import logging
import sys

import structlog

from limedeck.config.settings import LogSettings

Logger = structlog.typing.FilteringBoundLogger


def configure_logs(settings: LogSettings) -> None:
    """Send log lines to standard error in the wanted format and from the wanted level on."""
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if settings.format == "console":
        renderer = structlog.dev.ConsoleRenderer()
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(component: str) -> Logger:
    """Return a logger whose lines name the component."""
    logger: Logger = structlog.get_logger(component=component)
    return logger
