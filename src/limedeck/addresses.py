"""IPv4 addresses with a port, as rows and messages of other programs state them.

They are checked before they are used, since the layers below do not reject them: an event loop may
take a port modulo 65,536, and the resolver reads octets with a leading zero as octal numbers.
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from typing import NamedTuple

from limedeck import errors

MIN_PORT = 1
MAX_PORT = 65_535
MAX_QUOTED_LENGTH = 60
"""Characters of an invalid address that its error quotes."""
_FORMAT = re.compile(r"(?P<host>[0-9.]{7,15}):(?P<port>[0-9]{1,5})")


class SocketAddress(NamedTuple):
    """Where a server accepts connections."""

    host: str
    port: int


@dataclass
class InvalidAddress(errors.LimedeckError, ValueError):
    """A text is not the address of a server."""

    address: str
    problem: str

    def __str__(self) -> str:
        return f"address {self.address[:MAX_QUOTED_LENGTH]!r}: {self.problem}"


def parse_address(text: str) -> SocketAddress:
    """Parse the address of one server: an IPv4 address, a colon and a port.

    Addresses that no single server has, such as 0.0.0.0 and multicast groups, are invalid:
    connections to 0.0.0.0 reach the machine that opens them.

    Raises
    ------
    InvalidAddress
        The text has another format, a number is out of range, or no single server has the address.
    """
    found = _FORMAT.fullmatch(text)
    if found is None:
        raise InvalidAddress(text, "not an IPv4 address and a port")
    try:
        host = ipaddress.IPv4Address(found["host"])
    except ipaddress.AddressValueError as error:
        raise InvalidAddress(text, str(error)) from error
    port = int(found["port"])
    if not MIN_PORT <= port <= MAX_PORT:
        raise InvalidAddress(text, f"port {port} is not from {MIN_PORT} to {MAX_PORT}")
    if host.is_unspecified or host.is_multicast or host.is_reserved:
        raise InvalidAddress(text, "not the address of a single server")
    return SocketAddress(str(host), port)
