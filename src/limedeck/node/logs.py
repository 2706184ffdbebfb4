"""Structured logs to standard output: bounded, and never waited for."""

from __future__ import annotations

import logging
import os
import sys
from collections import deque
from typing import Any

import structlog

from limedeck.clock import steady_clock
from limedeck.identity import Seconds

Logger = structlog.typing.FilteringBoundLogger
LONGEST_BACKLOG = 512 * 1024
"""Bytes kept for a reader that does not read; what comes beyond is dropped."""


class BoundedWriter:
    """Writes lines to a descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write_line(self, line: str) -> None:
        """Write a line, keep it for later, or drop it."""
        data = line.encode() + b"\n"
        if self._backlog_bytes + len(data) > LONGEST_BACKLOG:
            self.dropped += 1
            return
        self._backlog.append(data)
        self._backlog_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Write as much of the backlog as the reader takes now."""
        while self._backlog:
            data = self._backlog[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                written = len(data)
                self.dropped += 1
            self._backlog_bytes -= written
            if written == len(data):
                self._backlog.popleft()
            else:
                self._backlog[0] = data[written:]


class _LineLogger:
    """What structlog hands finished lines to."""

    def __init__(self, writer: BoundedWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write_line(line)

    debug = info = warning = error = critical = msg


def configure_logs(level: str) -> BoundedWriter:
    """Send JSON lines to standard output, from a level on."""
    writer = BoundedWriter(sys.stdout.fileno())

    def make_logger(*_: Any) -> _LineLogger:
        return _LineLogger(writer)

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            _add_clock,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=make_logger,
        cache_logger_on_first_use=True,
    )
    return writer


def get_logger(component: str) -> Logger:
    """Return a logger whose lines name the component."""
    logger: Logger = structlog.get_logger(component=component)
    return logger


def _add_clock(_: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
    event["clock"] = round(steady_clock(), 4)
    return event


class RateLimit:
    """Lets so many lines a second through, and counts the rest."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._left = float(per_second)
        self._at: Seconds = steady_clock()
        self.held_back = 0

    def allows(self) -> bool:
        """Whether one more line may be written now."""
        now = steady_clock()
        self._left = min(self._left + (now - self._at) * self._per_second, self._per_second)
        self._at = now
        if self._left < 1.0:
            self.held_back += 1
            return False
        self._left -= 1.0
        return True
