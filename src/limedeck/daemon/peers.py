"""Messages between nodes over TCP: one outgoing connection for each other node."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from limedeck.api.peer_pb2 import PeerMessage
from limedeck.control.messages import message_kind
from limedeck.daemon.logs import get_logger
from limedeck.daemon.telemetry import Telemetry
from limedeck.errors import PeerProtocolError
from limedeck.node.framing import FrameReader, encode_frame

MAX_QUEUED_MESSAGES = 512
"""Messages queued for one node, such as one that cannot be reached; later ones are dropped."""
CONNECT_TIMEOUT_SECONDS = 1.0
SEND_TIMEOUT_SECONDS = 2.0
RECONNECT_DELAY_SECONDS = 0.1
IDLE_TIMEOUT_SECONDS = 60.0
"""A connection on which nothing was sent for this long is closed."""

MessageHandler = Callable[[PeerMessage], None]


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its IP address and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class PeerTransport:
    """Sends and receives messages; those that cannot be delivered soon are dropped.

    Parameters
    ----------
    address
        Where to listen; connections to other nodes are made from its IP address too.
    handler
        Called with every message that is received.
    """

    def __init__(
        self, address: str, handler: MessageHandler, telemetry: Telemetry, tasks: TaskGroup
    ) -> None:
        self._host, self._port = split_address(address)
        self._handler = handler
        self._telemetry = telemetry
        self._tasks = tasks
        self._queues: dict[str, MemoryObjectSendStream[bytes]] = {}
        self._log = get_logger("peers")

    def send(self, address: str, message: PeerMessage) -> None:
        """Queue a message for an address."""
        queue = self._queues.get(address) or self._start_sender(address)
        frame = encode_frame(message)
        try:
            queue.send_nowait(frame)
        except anyio.WouldBlock:
            self._telemetry.peer_messages.labels("dropped", message_kind(message)).inc()
            return
        self._telemetry.peer_messages.labels("sent", message_kind(message)).inc()
        self._telemetry.peer_bytes.labels("sent").inc(len(frame))

    async def serve(self, *, task_status: TaskStatus[None]) -> None:
        """Listen until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=self._host, local_port=self._port)
        async with listener:
            task_status.started()
            await listener.serve(self._receive_from)

    def _start_sender(self, address: str) -> MemoryObjectSendStream[bytes]:
        sender, receiver = anyio.create_memory_object_stream[bytes](MAX_QUEUED_MESSAGES)
        self._queues[address] = sender
        self._tasks.start_soon(self._send_to, address, receiver)
        return sender

    async def _send_to(self, address: str, queue: MemoryObjectReceiveStream[bytes]) -> None:
        host, port = split_address(address)
        while True:
            frame = await queue.receive()
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    stream = await anyio.connect_tcp(host, port, local_host=self._host)
            except (OSError, TimeoutError):
                # Messages queued meanwhile are outdated; the cores resend those that matter.
                _discard_queue(queue)
                await anyio.sleep(RECONNECT_DELAY_SECONDS)
                continue
            async with stream:
                await self._send_frames(stream, frame, queue)

    async def _send_frames(
        self, stream: SocketStream, frame: bytes, queue: MemoryObjectReceiveStream[bytes]
    ) -> None:
        try:
            while True:
                with anyio.fail_after(SEND_TIMEOUT_SECONDS):
                    await stream.send(frame)
                with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
                    frame = await queue.receive()
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _receive_from(self, stream: SocketStream) -> None:
        reader = FrameReader(stream, PeerMessage)
        remote = stream.extra(SocketAttribute.remote_address, None)
        async with stream:
            try:
                while True:
                    message, size = await reader.read()
                    self._telemetry.peer_messages.labels("received", message_kind(message)).inc()
                    self._telemetry.peer_bytes.labels("received").inc(size)
                    self._handler(message)
            except PeerProtocolError as error:
                self._log.warning("peer_protocol_error", remote=str(remote), problem=str(error))
            except (anyio.IncompleteRead, anyio.EndOfStream, anyio.BrokenResourceError):
                return


def _discard_queue(queue: MemoryObjectReceiveStream[bytes]) -> None:
    while True:
        try:
            queue.receive_nowait()
        except anyio.WouldBlock:
            return
