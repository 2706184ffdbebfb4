"""Structured logs to standard output, with a bounded buffer and without blocking."""

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
MAX_BUFFER_BYTES = 512 * 1024
"""Bytes buffered while the reader is stalled; further lines are dropped."""


class BoundedWriter:
    """Writes lines to a file descriptor without blocking on its reader."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write_line(self, line: str) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        data = line.encode() + b"\n"
        if self._buffered_bytes + len(data) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                written = len(data)
                self.dropped += 1
            self._buffered_bytes -= written
            if written == len(data):
                self._buffer.popleft()
            else:
                self._buffer[0] = data[written:]


class _LineLogger:
    """Receives the rendered lines from structlog."""

    def __init__(self, writer: BoundedWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write_line(line)

    debug = info = warning = error = critical = msg


def configure_logs(level: str) -> BoundedWriter:
    """Send JSON lines of at least the given level to standard output."""
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
    """Return a logger whose lines contain the component's name."""
    logger: Logger = structlog.get_logger(component=component)
    return logger


def _add_clock(_: Any, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
    event["clock"] = round(steady_clock(), 4)
    return event


class RateLimit:
    """Allows a number of lines per second, and counts the suppressed ones."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._tokens = float(per_second)
        self._refilled_at: Seconds = steady_clock()
        self.suppressed = 0

    def allows(self) -> bool:
        """Whether one more line may be written now."""
        now = steady_clock()
        self._tokens = min(
            self._tokens + (now - self._refilled_at) * self._per_second, self._per_second
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            self.suppressed += 1
            return False
        self._tokens -= 1.0
        return True
