"""Requests to back ends through aiohttp's client."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp
import anyio
from yarl import URL

from limedeck.clock import steady_clock
from limedeck.daemon.backend_client import (
    KEEPALIVE_SECONDS,
    LONGEST_CONNECT,
    REFUSAL_HEADER,
    AttemptRefused,
    BackendAnswer,
    BackendClient,
    BackendRequest,
)
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

PART_BYTES = 64 * 1024
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
"""Headers that the library would add to a request that lacks them."""


def open_session() -> aiohttp.ClientSession:
    """Open connections that add nothing to a request and never send it twice.

    The library sends a request with a method it takes to be idempotent again when a reused
    connection breaks. Whether a request may be repeated is for the service's configuration to say,
    so this is switched off; no public setting does it.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=AUTOMATIC_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=LONGEST_CONNECT),
    )
    session._retry_connection = False
    return session


class AiohttpAnswer(BackendAnswer):
    """An answer from aiohttp."""

    def __init__(self, response: aiohttp.ClientResponse, deadline: float) -> None:
        self.status = response.status
        self.headers = list(response.raw_headers)
        self._response = response
        self._deadline = deadline

    async def parts(self) -> AsyncIterator[bytes]:
        while True:
            try:
                with anyio.fail_after(self._deadline - steady_clock()):
                    part = await self._response.content.read(PART_BYTES)
            except (aiohttp.ClientError, TimeoutError) as error:
                reason = type(error).__name__
                raise AttemptFailed(FailurePhase.ANSWERING, reason) from error
            if not part:
                return
            yield part

    async def aclose(self) -> None:
        # Drops the connection unless the answer was read to its end.
        self._response.close()


class AiohttpBackendClient(BackendClient):
    """Connections to all back ends, found by address."""

    def __init__(self) -> None:
        self._session = open_session()

    async def send(self, request: BackendRequest, time_left: float) -> BackendAnswer:
        deadline = steady_clock() + time_left
        try:
            with anyio.fail_after(time_left):
                response = await self._session.request(
                    request.method,
                    URL(f"http://{request.address}{request.path}", encoded=True),
                    headers=request.headers,
                    data=request.body or None,
                    allow_redirects=False,
                )
        except (aiohttp.ClientError, TimeoutError) as error:
            raise AttemptFailed(_phase_of(error), type(error).__name__) from error
        refusal = response.headers.get(REFUSAL_HEADER)
        if refusal is not None:
            response.release()
            raise AttemptRefused(refusal)
        return AiohttpAnswer(response, deadline)

    async def forget_except(self, addresses: set[str]) -> None:
        # Idle connections end by themselves after KEEPALIVE_SECONDS.
        return

    async def aclose(self) -> None:
        await self._session.close()


def _phase_of(error: Exception) -> FailurePhase:
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return FailurePhase.NOT_CONNECTED
    return FailurePhase.AWAITING
