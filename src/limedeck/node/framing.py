"""Messages between nodes as frames on a byte stream: four bytes of length, then the message."""

from __future__ import annotations

import struct
from typing import Generic, TypeVar

from anyio.abc import ByteReceiveStream
from anyio.streams.buffered import BufferedByteReceiveStream
from google.protobuf.message import DecodeError, Message

from limedeck.errors import PeerProtocolError

LENGTH = struct.Struct(">I")
LARGEST_FRAME = 32 * 1024 * 1024
Framed = TypeVar("Framed", bound=Message)


def encode_frame(message: Message) -> bytes:
    """Write a message as one frame."""
    body = message.SerializeToString()
    return LENGTH.pack(len(body)) + body


class FrameReader(Generic[Framed]):
    """Reads messages of one type from a byte stream."""

    def __init__(self, stream: ByteReceiveStream, message_type: type[Framed]) -> None:
        self._stream = BufferedByteReceiveStream(stream)
        self._message_type = message_type

    async def read(self) -> tuple[Framed, int]:
        """Read the next message and its size in bytes.

        Raises
        ------
        PeerProtocolError
            The bytes do not form a message.
        anyio.IncompleteRead, anyio.EndOfStream, anyio.BrokenResourceError
            The stream has ended.
        """
        header = await self._stream.receive_exactly(LENGTH.size)
        (length,) = LENGTH.unpack(header)
        if length > LARGEST_FRAME:
            raise PeerProtocolError(f"a frame of {length} bytes is above {LARGEST_FRAME}")
        body = await self._stream.receive_exactly(length)
        try:
            return self._message_type.FromString(body), length + LENGTH.size
        except DecodeError as error:
            raise PeerProtocolError("a frame does not hold a message") from error
