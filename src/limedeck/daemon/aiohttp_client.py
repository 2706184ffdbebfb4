"""Requests to back ends through aiohttp's client."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp
import anyio
from yarl import URL

from limedeck.clock import steady_clock
from limedeck.daemon.backend_client import (
    CONNECT_TIMEOUT_SECONDS,
    KEEPALIVE_SECONDS,
    REFUSAL_HEADER,
    AttemptRefused,
    BackendClient,
    BackendRequest,
    BackendResponse,
)
from limedeck.routing.outcomes import AttemptFailed, FailurePhase

READ_CHUNK_BYTES = 64 * 1024
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
"""Headers that aiohttp would add to a request that lacks them."""


def open_session() -> aiohttp.ClientSession:
    """Open a session that adds none of `AUTOMATIC_HEADERS` and never sends a request twice.

    aiohttp resends a request whose method it considers idempotent when a reused connection
    breaks. Whether a request may be repeated is set in the service's configuration, so this is
    turned off through a private attribute: aiohttp has no public setting for it.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=AUTOMATIC_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
    )
    session._retry_connection = False
    return session


class AiohttpResponse(BackendResponse):
    """A response received through aiohttp."""

    def __init__(self, response: aiohttp.ClientResponse, deadline: float) -> None:
        self.status = response.status
        self.headers = list(response.raw_headers)
        self._response = response
        self._deadline = deadline

    async def chunks(self) -> AsyncIterator[bytes]:
        while True:
            try:
                with anyio.fail_after(self._deadline - steady_clock()):
                    chunk = await self._response.content.read(READ_CHUNK_BYTES)
            except (aiohttp.ClientError, TimeoutError) as error:
                reason = type(error).__name__
                raise AttemptFailed(FailurePhase.RECEIVING, reason) from error
            if not chunk:
                return
            yield chunk

    async def aclose(self) -> None:
        # Closes the connection unless the response was read to its end.
        self._response.close()


class AiohttpBackendClient(BackendClient):
    """Sends requests through one session for all back ends."""

    def __init__(self) -> None:
        self._session = open_session()

    async def send(self, request: BackendRequest, time_left: float) -> BackendResponse:
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
            raise AttemptFailed(_failure_phase(error), type(error).__name__) from error
        refusal = response.headers.get(REFUSAL_HEADER)
        if refusal is not None:
            response.release()
            raise AttemptRefused(refusal)
        return AiohttpResponse(response, deadline)

    async def retain(self, addresses: set[str]) -> None:
        # The session closes idle connections after KEEPALIVE_SECONDS.
        return

    async def aclose(self) -> None:
        await self._session.close()


def _failure_phase(error: Exception) -> FailurePhase:
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return FailurePhase.NOT_CONNECTED
    return FailurePhase.AWAITING
