"""The content of a request, and fingerprints by which repeated requests are recognised.

Which part of a request crashes back ends is not known beforehand. So a request has several
fingerprints, and its losses count against all of them (`limedeck.forwarding.crashes`).
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

FINGERPRINT_BYTES = 8
"""Two of a million different requests share a fingerprint with a chance of one in 37 million. The
hash is cryptographic, so that no caller can make a request with the fingerprint of another
caller's."""
LENGTH_BYTES = 8


@dataclass(frozen=True, slots=True, order=True)
class RequestFingerprints:
    """Fingerprints of one request: 64-bit numbers that different requests do not share.

    Parameters
    ----------
    target
        Hash of its method, host, path and query: shared by all requests for the same target.
    content
        Hash of its key and body as well: shared by all requests with the same content.
    caller
        Hash of its caller's IP address as well: shared by retries of the same caller.
    """

    target: int
    content: int
    caller: int

    @property
    def from_narrowest(self) -> tuple[int, int, int]:
        """All fingerprints, from the one that fewest requests share."""
        return (self.caller, self.content, self.target)

    def wider_than(self, fingerprint: int) -> tuple[int, ...]:
        """Return the request's fingerprints that are wider than one of them."""
        fingerprints = self.from_narrowest
        return fingerprints[fingerprints.index(fingerprint) + 1 :]


@dataclass(slots=True)
class RequestContent:
    """The content of a request, and who sent it.

    Parameters
    ----------
    target
        Path and query.
    caller
        IP address that its connection came from; empty if it is not known.
    position
        Position of its key; None if it has none.
    """

    method: bytes
    host: str
    target: bytes
    caller: str
    body: bytes
    position: int | None = None
    _fingerprints: RequestFingerprints | None = field(default=None, repr=False, compare=False)

    @property
    def fingerprints(self) -> RequestFingerprints:
        """The request's fingerprints.

        Computed on first use: most requests never need them.
        """
        if self._fingerprints is None:
            self._fingerprints = self._compute_fingerprints()
        return self._fingerprints

    @property
    def fingerprint(self) -> int:
        """The fingerprint that only the same request of the same caller has."""
        return self.fingerprints.caller

    def _compute_fingerprints(self) -> RequestFingerprints:
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        key = b"" if self.position is None else b"%d" % self.position
        _add_parts(digest, self.method, self.host.encode(), self.target)
        target = _digest_value(digest)
        _add_parts(digest, key, self.body)
        content = _digest_value(digest)
        _add_parts(digest, self.caller.encode())
        return RequestFingerprints(target, content, _digest_value(digest))


def _add_parts(digest: hashlib.blake2b, *parts: bytes) -> None:
    """Add parts with their lengths, so that no other division into parts gives the same hash."""
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)


def _digest_value(digest: hashlib.blake2b) -> int:
    return int.from_bytes(digest.digest(), "big")


def format_fingerprint(fingerprint: int) -> str:
    """Format a fingerprint as in log lines."""
    return f"{fingerprint:0{2 * FINGERPRINT_BYTES}x}"
