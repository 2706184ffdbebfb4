"""Framing of messages between nodes: a length of four bytes, then the message."""

from __future__ import annotations

import struct
from typing import Generic, TypeVar

from anyio.abc import ByteReceiveStream
from anyio.streams.buffered import BufferedByteReceiveStream
from google.protobuf.message import DecodeError, Message

from limedeck.errors import PeerProtocolError

LENGTH_HEADER = struct.Struct(">I")
MAX_FRAME_SIZE = 32 * 1024 * 1024
Framed = TypeVar("Framed", bound=Message)


def encode_frame(message: Message) -> bytes:
    """Write a message as one frame."""
    body = message.SerializeToString()
    return LENGTH_HEADER.pack(len(body)) + body


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
        header = await self._stream.receive_exactly(LENGTH_HEADER.size)
        (length,) = LENGTH_HEADER.unpack(header)
        if length > MAX_FRAME_SIZE:
            raise PeerProtocolError(
                f"frame of {length} bytes exceeds the limit of {MAX_FRAME_SIZE} bytes"
            )
        body = await self._stream.receive_exactly(length)
        try:
            return self._message_type.FromString(body), length + LENGTH_HEADER.size
        except DecodeError as error:
            raise PeerProtocolError("frame does not contain a valid message") from error
