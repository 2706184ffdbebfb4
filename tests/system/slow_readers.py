"""Callers that read their responses slowly, in a process of their own.

``python3 -m tests.system.slow_readers ADDRESS PATH COUNT`` runs until it is ended and writes its
counts as JSON, one line a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import socket
import sys
from collections import Counter

BYTES_PER_SECOND = 2000
READ_INTERVAL_SECONDS = 0.25
CONNECTS_PER_SECOND = 50
RETRY_SECONDS = 5.0
RECEIVE_BUFFER_BYTES = 4096
"""Small, so that what is not read stays with the sender."""


class SlowReaders:
    """Callers that send one request each, read slowly, and try again if they are broken off.

    Attributes
    ----------
    counts
        Responses by status; ``broken-off``: connections that ended before the response did;
        ``reading``: readers that are reading now.
    """

    def __init__(self, address: str, path: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._path = path
        self.counts: Counter[str] = Counter()

    async def run(self, count: int) -> None:
        """Read until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._report())
            for _ in range(count):
                tasks.create_task(self._call_again())
                await asyncio.sleep(1.0 / CONNECTS_PER_SECOND)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            print(json.dumps(self.counts), flush=True)

    async def _call_again(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._call()
            await asyncio.sleep(RETRY_SECONDS)

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            connection.setblocking(False)
            await loop.sock_connect(connection, self._address)
            head = (
                f"GET {self._path} HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Attempt-Id: {secrets.token_hex(8)}\r\nX-Deadline-Ms: 2000\r\n\r\n"
            )
            await loop.sock_sendall(connection, head.encode())
            first = await loop.sock_recv(connection, 512)
            status = first[9:12].decode()
            self.counts[status] += 1
            if status != "200":
                return
            self.counts["reading"] += 1
            try:
                while True:
                    await asyncio.sleep(READ_INTERVAL_SECONDS)
                    wanted = int(BYTES_PER_SECOND * READ_INTERVAL_SECONDS)
                    if not await loop.sock_recv(connection, wanted):
                        return
            finally:
                self.counts["reading"] -= 1
                self.counts["broken-off"] += 1


if __name__ == "__main__":
    address, path, count = sys.argv[1:]
    asyncio.run(SlowReaders(address, path).run(int(count)))
