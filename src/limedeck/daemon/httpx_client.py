"""Requests to back ends through httpx."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import httpx

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


class HttpxResponse(BackendResponse):
    """A response received through httpx."""

    def __init__(self, response: httpx.Response, deadline: float) -> None:
        self.status = response.status_code
        self.headers = response.headers.raw
        self._response = response
        self._deadline = deadline

    async def chunks(self) -> AsyncIterator[bytes]:
        stream = self._response.aiter_raw()
        while True:
            try:
                with anyio.fail_after(self._deadline - steady_clock()):
                    chunk = await anext(stream, None)
            except (httpx.HTTPError, TimeoutError) as error:
                reason = type(error).__name__
                raise AttemptFailed(FailurePhase.RECEIVING, reason) from error
            if chunk is None:
                return
            yield chunk

    async def aclose(self) -> None:
        with anyio.CancelScope(shield=True):
            await self._response.aclose()


class HttpxBackendClient(BackendClient):
    """Keeps a separate connection pool for each back end.

    httpx goes through all connections of a pool on every request, which one pool for all back
    ends would make expensive.
    """

    def __init__(self) -> None:
        self._pools: dict[str, httpx.AsyncClient] = {}

    async def send(self, request: BackendRequest, time_left: float) -> BackendResponse:
        pool = self._pools.get(request.address) or self._open_pool(request.address)
        deadline = steady_clock() + time_left
        timeout = httpx.Timeout(time_left, connect=min(time_left, CONNECT_TIMEOUT_SECONDS))
        outgoing = pool.build_request(
            request.method,
            f"http://{request.address}{request.path}",
            headers=request.headers,
            content=request.body,
            timeout=timeout,
        )
        try:
            with anyio.fail_after(time_left):
                response = await pool.send(outgoing, stream=True)
        except (httpx.HTTPError, TimeoutError) as error:
            raise AttemptFailed(_failure_phase(error), type(error).__name__) from error
        refusal = response.headers.get(REFUSAL_HEADER)
        if refusal is not None:
            await _read_to_end(response)
            raise AttemptRefused(refusal)
        return HttpxResponse(response, deadline)

    async def retain(self, addresses: set[str]) -> None:
        for address in [item for item in self._pools if item not in addresses]:
            await self._pools.pop(address).aclose()

    async def aclose(self) -> None:
        for pool in self._pools.values():
            await pool.aclose()
        self._pools.clear()

    def _open_pool(self, address: str) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=None,
            keepalive_expiry=KEEPALIVE_SECONDS,
        )
        pool = httpx.AsyncClient(limits=limits, trust_env=False, verify=False)
        pool.headers.clear()
        self._pools[address] = pool
        return pool


async def _read_to_end(response: httpx.Response) -> None:
    try:
        await response.aread()
    except httpx.HTTPError:
        # The refusal has been received; httpx drops the connection.
        return
    finally:
        await response.aclose()


def _failure_phase(error: Exception) -> FailurePhase:
    if isinstance(error, httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout):
        return FailurePhase.NOT_CONNECTED
    if isinstance(error, httpx.WriteError | httpx.WriteTimeout):
        return FailurePhase.SENDING
    return FailurePhase.AWAITING
