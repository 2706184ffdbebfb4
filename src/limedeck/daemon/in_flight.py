"""Requests in flight with an id given by the caller; duplicates share one response."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from limedeck.daemon.problems import BufferedResponse

RequestKey = tuple[str, str]
"""Service and request id."""


class InFlightRequest:
    """A request in flight, whose duplicates wait for its response."""

    def __init__(self) -> None:
        self._ended = anyio.Event()
        self._response: BufferedResponse | None = None

    def finish(self, response: BufferedResponse) -> None:
        """Set the response that the waiting duplicates share."""
        self._response = response

    def end(self) -> None:
        """Wake the waiting duplicates, whether or not there is a response."""
        self._ended.set()

    async def wait(self, timeout: float) -> BufferedResponse | None:
        """Wait for the response; return None when there is none to share in time."""
        with anyio.move_on_after(timeout):
            await self._ended.wait()
        return self._response


class InFlightRequests:
    """All requests in flight, by service and request id."""

    def __init__(self) -> None:
        self._entries: dict[RequestKey, InFlightRequest] = {}

    def find(self, key: RequestKey) -> InFlightRequest | None:
        """Return the request in flight with this key, if there is one."""
        return self._entries.get(key)

    @contextmanager
    def track(self, key: RequestKey) -> Iterator[InFlightRequest]:
        """Register a request for as long as it runs."""
        entry = InFlightRequest()
        self._entries[key] = entry
        try:
            yield entry
        finally:
            del self._entries[key]
            entry.end()
