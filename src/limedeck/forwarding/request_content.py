"""What makes two requests the same although their ids differ: how one that comes again is known.

Nobody can know beforehand what of a request ends back ends. So a request has several signs, and
what is lost is held against all of them (`limedeck.forwarding.crashes`).
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

FINGERPRINT_BYTES = 8
"""Two of a million different requests share a fingerprint with a chance of one in 37 million; a
cryptographic hash, so that no caller can make one that is another caller's."""
LENGTH_BYTES = 8


@dataclass(frozen=True, slots=True, order=True)
class RequestFingerprints:
    """Fingerprints of one request: numbers of 64 bits that requests which differ do not share.

    Parameters
    ----------
    target
        Of its method, host, path and query: shared by all who ask for the same.
    content
        Of its key and body besides: shared by all who ask the very same.
    caller
        Of its caller's IP number besides: its caller's next tries have it too.
    """

    target: int
    content: int
    caller: int

    @property
    def from_narrowest(self) -> tuple[int, int, int]:
        """All signs; fewer requests share the earlier ones."""
        return (self.caller, self.content, self.target)

    def wider_than(self, sign: int) -> tuple[int, ...]:
        """Signs that more requests share than this one of the request's."""
        fingerprints = self.from_narrowest
        return fingerprints[fingerprints.index(sign) + 1 :]


@dataclass(slots=True)
class RequestContent:
    """What a request asks, and who asks.

    Parameters
    ----------
    target
        Path and query.
    caller
        IP number that its connection came from; empty if it is not known.
    position
        Of its key; None if it has none.
    """

    method: bytes
    host: str
    target: bytes
    caller: str
    body: bytes
    position: int | None = None
    _signs: RequestFingerprints | None = field(default=None, repr=False, compare=False)

    @property
    def fingerprints(self) -> RequestFingerprints:
        """What it is known by.

        Worked out when it is first asked for: most requests never need them.
        """
        if self._signs is None:
            self._signs = self._hashed()
        return self._signs

    @property
    def fingerprint(self) -> int:
        """The sign that only the same request of the same caller has."""
        return self.fingerprints.caller

    def _hashed(self) -> RequestFingerprints:
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        key = b"" if self.position is None else b"%d" % self.position
        _add(digest, self.method, self.host.encode(), self.target)
        target = _number(digest)
        _add(digest, key, self.body)
        content = _number(digest)
        _add(digest, self.caller.encode())
        return RequestFingerprints(target, content, _number(digest))


def _add(digest: hashlib.blake2b, *parts: bytes) -> None:
    """Take in parts with their lengths, so that no other parts look the same."""
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)


def _number(digest: hashlib.blake2b) -> int:
    return int.from_bytes(digest.digest(), "big")


def format_fingerprint(fingerprint: int) -> str:
    """Write a fingerprint as log lines do."""
    return f"{fingerprint:0{2 * FINGERPRINT_BYTES}x}"
