"""What the connections of all callers have in common: which requests overlap, counts, log lines."""

from __future__ import annotations

from collections.abc import Callable

from limedeck.identity import Seconds
from limedeck.node.asgi import Scope
from limedeck.node.logs import RateLimit, get_logger
from limedeck.node.telemetry import Telemetry

LINES_PER_SECOND = 5
"""Log lines about connections, at most; the counter has all of them."""


class CallerConnections:
    """Counts what callers' connections hold, for all of them together.

    Attributes
    ----------
    waiting_bytes
        Bytes of responses that wait until earlier requests of their connections are answered.
    """

    def __init__(self, may_overlap: Callable[[Scope], bool], telemetry: Telemetry) -> None:
        """
        Parameters
        ----------
        may_overlap
            Whether a request may run beside others of its connection, and be given up.
        """
        self.may_overlap = may_overlap
        self.waiting_bytes = 0
        self._telemetry = telemetry
        self._limit = RateLimit(LINES_PER_SECOND)
        self._log = get_logger("connections")
        telemetry.waiting_response_bytes.set_function(lambda: self.waiting_bytes)

    def record_depth(self, depth: int) -> None:
        """Record a request that was received behind others; `depth` counts it as well."""
        self._telemetry.pipelined_depth.observe(depth)

    def record_left(self, caller: str, open_requests: int, held_bytes: int) -> None:
        """Record that a caller left whose connection was not being read because of a bound."""
        self._telemetry.broken_connections.labels("left-while-held").inc()
        if self._limit.allows():
            self._log.info(
                "caller_left_while_held", caller=caller, open=open_requests, bytes=held_bytes
            )

    def record_refused_input(
        self, caller: str, cause: str, open_requests: int, held_bytes: int, age: Seconds
    ) -> None:
        """Record that a connection is closed because of what was received on it.

        Parameters
        ----------
        age
            Time since the connection was opened.
        """
        self._telemetry.broken_connections.labels(cause).inc()
        if self._limit.allows():
            self._log.info(
                "caller_input_refused",
                caller=caller,
                cause=cause,
                open=open_requests,
                bytes=held_bytes,
                age=round(age, 3),
            )
