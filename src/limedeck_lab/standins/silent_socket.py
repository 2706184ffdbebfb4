"""Makes one end of an open connection deaf: nothing that comes is taken or acknowledged any more.

The other end sees no reset and no close, while new connections work. A filter of the kernel that
drops every segment does it (socket(7), SO_ATTACH_FILTER); it needs no privilege.
"""

from __future__ import annotations

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
"""From Linux's asm-generic/socket.h; the socket module does not name it."""
RETURN = 0x06
"""BPF_RET with a constant, from linux/bpf_common.h: the number of bytes of a segment to keep."""


def make_deaf(connection: socket.socket) -> None:
    """Drop everything that comes on this connection from now on."""
    instruction = ctypes.create_string_buffer(struct.pack("HBBI", RETURN, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(instruction))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
