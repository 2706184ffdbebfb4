"""Stand-ins of both row stores, served over HTTP, for tests that run against either."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config, Sockets
from starlette.applications import Starlette

from limedeck.node.listener import open_listener
from limedeck.platform.store import PlatformStore
from limedeck.store.rows import RowStore
from limedeck.store.table_http import HttpTransactionalTable
from limedeck.store.table_rows import TableRowStore
from limedeck_lab.standins.platform_server import PlatformServer
from limedeck_lab.standins.row_store import Fault, RowStoreStandIn
from tests.system.platform_site import WORDS

TIMEOUT = 0.5


class ServedStore(ABC):
    """A stand-in of a store that injects faults."""

    @asynccontextmanager
    async def connected(self) -> AsyncIterator[RowStore]:
        """Serve the store, and yield a client of it."""
        async with served(self.application()) as address:
            store = self.client(address)
            yield store
            await store.aclose()

    @abstractmethod
    def application(self) -> Starlette:
        """Return the application of the store."""

    @abstractmethod
    def client(self, address: str) -> RowStore:
        """Return a client for the store at an address."""

    @abstractmethod
    def lose_next_response(self) -> None:
        """Do the next transaction, but send no response."""

    @abstractmethod
    def refuse_next_call(self) -> None:
        """Refuse the next call."""


class PlatformRows(ServedStore):
    """The users' store."""

    def __init__(self) -> None:
        self.stand_in = RowStoreStandIn(WORDS)

    def application(self) -> Starlette:
        return self.stand_in.application()

    def client(self, address: str) -> RowStore:
        return PlatformStore(address, TIMEOUT)

    def lose_next_response(self) -> None:
        self.stand_in.faults.append(Fault.LOSE_RESPONSE)

    def refuse_next_call(self) -> None:
        self.stand_in.faults.append(Fault.OVER_RATE)


class TableRows(ServedStore):
    """The product's own table."""

    def __init__(self) -> None:
        self.server = PlatformServer()

    def application(self) -> Starlette:
        return self.server.application

    def client(self, address: str) -> RowStore:
        return TableRowStore(HttpTransactionalTable(f"http://{address}", TIMEOUT))

    def lose_next_response(self) -> None:
        self.server.faults.lost_answers = 1

    def refuse_next_call(self) -> None:
        self.server.faults.refused_calls = 1


@asynccontextmanager
async def served(application: Starlette) -> AsyncIterator[str]:
    """Serve an application on a free local port, and yield its address."""
    listener = open_listener("127.0.0.1:0")
    port = listener.getsockname()[1]

    class ListenerConfig(Config):
        def create_sockets(self) -> Sockets:
            return Sockets([], [listener], [])

    config = ListenerConfig()
    config.graceful_timeout = 5.0
    config.errorlog = None
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:

        async def run() -> None:
            await serve(application, config, shutdown_trigger=stop.wait, mode="asgi")  # type: ignore[arg-type]

        tasks.start_soon(run)
        yield f"127.0.0.1:{port}"
        stop.set()
