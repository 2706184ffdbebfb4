"""Makes a socket ignore incoming segments without acknowledging them.

On one end of an open connection, the other end sees neither a reset nor a close, and new
connections work. On a listening socket, connections from the given hosts are not established. This
uses kernel filters that drop segments (socket(7), SO_ATTACH_FILTER), which need no privileges.
"""

from __future__ import annotations

import ctypes
import socket
import struct
from collections.abc import Collection

SO_ATTACH_FILTER = 26
"""From Linux's asm-generic/socket.h; the socket module does not name it."""
SO_DETACH_FILTER = 27
BPF_RETURN = 0x06
"""BPF_RET from linux/bpf_common.h; its constant is the number of bytes of a segment to keep."""
BPF_LOAD_WORD = 0x20
"""BPF_LD, BPF_W and BPF_ABS."""
BPF_JUMP_IF_EQUAL = 0x15
"""BPF_JMP, BPF_JEQ and BPF_K."""
NETWORK_HEADER = 0xFFF00000
"""SKF_NET_OFF from linux/filter.h: offsets from here on are in the network header."""
SOURCE_OFFSET = 12
"""Offset of the source address in an IPv4 header."""
KEEP_ALL = 0xFFFFFFFF

Instruction = tuple[int, int, int, int]


def drop_incoming(connection: socket.socket) -> None:
    """Drop everything that arrives on this connection from now on."""
    _attach(connection, [(BPF_RETURN, 0, 0, 0)])


def drop_from(listener: socket.socket, hosts: Collection[str]) -> None:
    """Drop everything that arrives from these IPv4 hosts; accept everything if there are none."""
    if not hosts:
        listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        return
    program: list[Instruction] = [(BPF_LOAD_WORD, 0, 0, NETWORK_HEADER + SOURCE_OFFSET)]
    for left, host in zip(range(len(hosts), 0, -1), hosts, strict=True):
        address = int.from_bytes(socket.inet_aton(host), "big")
        program.append((BPF_JUMP_IF_EQUAL, left, 0, address))
    program += [(BPF_RETURN, 0, 0, KEEP_ALL), (BPF_RETURN, 0, 0, 0)]
    _attach(listener, program)


def _attach(target: socket.socket, program: list[Instruction]) -> None:
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in program)
    buffer = ctypes.create_string_buffer(code, len(code))
    described = struct.pack("HL", len(program), ctypes.addressof(buffer))
    target.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, described)
