"""``limedeck-lab platform`` and ``limedeck-lab backend``"""

from __future__ import annotations

import json
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import anyio
from cleo.commands.command import Command
from cleo.helpers import option

from limedeck_lab.standins.backend_server import BackendServer, BackendSpecification
from limedeck_lab.standins.platform_server import PlatformServer

UVLOOP = {"use_uvloop": True}


async def serve_until_signal(serve: Callable[[anyio.Event], Coroutine[Any, Any, None]]) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve, stop)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        stop.set()


class PlatformCommand(Command):
    """Runs a stand-in for the platform."""

    name = "platform"
    description = "Run a stand-in for table service, object store and machine list"
    options = [  # noqa: RUF012
        option("address", None, "IP address and port", flag=False, default="127.0.0.1:7000"),
        option("rate", None, "Calls per second; 0 for no limit", flag=False, default="0"),
    ]

    def handle(self) -> int:
        """Serve until SIGTERM or SIGINT."""
        server = PlatformServer(float(self.option("rate")))
        address = self.option("address")

        async def serve(stop: anyio.Event) -> None:
            await server.serve(address, stop)

        anyio.run(serve_until_signal, serve, backend_options=UVLOOP)
        return 0


class BackendCommand(Command):
    """Runs stand-ins for back ends."""

    name = "backend"
    description = "Run stand-ins for back ends, several in one process"
    options = [  # noqa: RUF012
        option("specifications", None, "JSON file, a list of back ends", flag=False),
    ]

    def handle(self) -> int:
        """Serve until SIGTERM or SIGINT."""
        content = json.loads(Path(self.option("specifications")).read_text(encoding="utf-8"))
        server = BackendServer([BackendSpecification(**item) for item in content])
        anyio.run(serve_until_signal, server.serve, backend_options=UVLOOP)
        return 0
