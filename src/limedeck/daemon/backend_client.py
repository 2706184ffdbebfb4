"""Requests to back ends: one narrow interface, and its adapter on httpx."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import httpx

from limedeck.errors import BackendError
from limedeck.routing.outcomes import FailurePhase

LONGEST_CONNECT = 1.0
KEEPALIVE_SECONDS = 2.0
"""An idle connection is dropped well before a back end would drop it."""
REFUSAL_HEADER = "limedeck-refusal"
NOT_OWNER = "not-owner"


@dataclass
class AttemptFailed(BackendError):
    """An attempt had no whole answer.

    Parameters
    ----------
    phase
        Where it failed.
    reason
        Type of the library's error, for the log.
    """

    phase: FailurePhase
    reason: str

    def __str__(self) -> str:
        return f"{self.phase.value}: {self.reason}"


@dataclass
class AttemptRefused(BackendError):
    """The back end said that it does not run the request.

    Parameters
    ----------
    refusal
        Value of its ``limedeck-refusal`` header.
    """

    refusal: str

    def __str__(self) -> str:
        return f"refused: {self.refusal}"


@dataclass(frozen=True)
class BackendRequest:
    """A request as a back end gets it."""

    address: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class BackendAnswer(ABC):
    """An answer whose head has come; its body comes in parts."""

    status: int
    headers: list[tuple[bytes, bytes]]

    @abstractmethod
    def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes; raise `AttemptFailed` when it ends too early."""

    @abstractmethod
    async def aclose(self) -> None:
        """Give the connection back, or drop it when the body was not read to its end."""


class BackendClient(ABC):
    """Sends requests to back ends."""

    @abstractmethod
    async def send(self, request: BackendRequest, time_left: float) -> BackendAnswer:
        """Send a request and wait for the head of its answer.

        Parameters
        ----------
        time_left
            Seconds until the request's deadline.

        Raises
        ------
        AttemptFailed, AttemptRefused
            There is no answer to pass on.
        """

    @abstractmethod
    async def forget_except(self, addresses: set[str]) -> None:
        """Close the connections to back ends that are configured no more."""

    @abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""


class HttpxAnswer(BackendAnswer):
    """An answer from httpx."""

    def __init__(self, response: httpx.Response, deadline: float) -> None:
        self.status = response.status_code
        self.headers = response.headers.raw
        self._response = response
        self._deadline = deadline

    async def parts(self) -> AsyncIterator[bytes]:
        stream = self._response.aiter_raw()
        while True:
            try:
                with anyio.fail_after(self._deadline - anyio.current_time()):
                    part = await anext(stream, None)
            except (httpx.HTTPError, TimeoutError) as error:
                reason = type(error).__name__
                raise AttemptFailed(FailurePhase.ANSWERING, reason) from error
            if part is None:
                return
            yield part

    async def aclose(self) -> None:
        with anyio.CancelScope(shield=True):
            await self._response.aclose()


class HttpxBackendClient(BackendClient):
    """A small pool of connections for each back end.

    One pool for all back ends would be walked whole for every request.
    """

    def __init__(self) -> None:
        self._pools: dict[str, httpx.AsyncClient] = {}

    async def send(self, request: BackendRequest, time_left: float) -> BackendAnswer:
        pool = self._pools.get(request.address) or self._open_pool(request.address)
        deadline = anyio.current_time() + time_left
        timeout = httpx.Timeout(time_left, connect=min(time_left, LONGEST_CONNECT))
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
            raise AttemptFailed(_phase_of(error), type(error).__name__) from error
        refusal = response.headers.get(REFUSAL_HEADER)
        if refusal is not None:
            await _read_to_end(response)
            raise AttemptRefused(refusal)
        return HttpxAnswer(response, deadline)

    async def forget_except(self, addresses: set[str]) -> None:
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
        # The refusal itself has come; the connection is dropped by the library.
        return
    finally:
        await response.aclose()


def _phase_of(error: Exception) -> FailurePhase:
    if isinstance(error, httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout):
        return FailurePhase.NOT_CONNECTED
    if isinstance(error, httpx.WriteError | httpx.WriteTimeout):
        return FailurePhase.SENDING
    return FailurePhase.AWAITING
