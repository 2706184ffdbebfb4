"""Makes one end of an open connection ignore all incoming segments without acknowledging them.

The other end sees neither a reset nor a close, and new connections work. This uses a kernel filter
that drops every segment (socket(7), SO_ATTACH_FILTER), which needs no privileges.
"""

from __future__ import annotations

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
"""From Linux's asm-generic/socket.h; the socket module does not name it."""
BPF_RETURN = 0x06
"""BPF_RET from linux/bpf_common.h; its constant is the number of bytes of a segment to keep."""


def drop_incoming(connection: socket.socket) -> None:
    """Drop everything that arrives on this connection from now on."""
    instruction = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(instruction))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
