"""Requests with a caller's own id that are running now: the same id twice is one request."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from limedeck.daemon.problems import WholeAnswer

RequestKey = tuple[str, str]
"""Service and request id."""


class InFlightRequest:
    """A running request that others may wait for."""

    def __init__(self) -> None:
        self._ended = anyio.Event()
        self._answer: WholeAnswer | None = None

    def finish(self, answer: WholeAnswer) -> None:
        """Share the answer with those that wait."""
        self._answer = answer

    def end(self) -> None:
        """Wake those that wait, with an answer or without."""
        self._ended.set()

    async def wait(self, timeout: float) -> WholeAnswer | None:
        """Wait for the answer; None when there is none to share in time."""
        with anyio.move_on_after(timeout):
            await self._ended.wait()
        return self._answer


class InFlightRequests:
    """All of them, by service and request id."""

    def __init__(self) -> None:
        self._entries: dict[RequestKey, InFlightRequest] = {}

    def find(self, key: RequestKey) -> InFlightRequest | None:
        """Return the running request with this key, if there is one."""
        return self._entries.get(key)

    @contextmanager
    def track(self, key: RequestKey) -> Iterator[InFlightRequest]:
        """Enter a request for as long as it runs."""
        entry = InFlightRequest()
        self._entries[key] = entry
        try:
            yield entry
        finally:
            del self._entries[key]
            entry.end()
