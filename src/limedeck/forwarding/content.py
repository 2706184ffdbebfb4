"""What makes two requests the same although their ids differ: how one that comes again is known."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

FINGERPRINT_BYTES = 8
"""Two of a million different requests share a fingerprint with a chance of one in 37 million; a
cryptographic hash, so that no caller can make one that is another caller's."""
LENGTH_BYTES = 8


@dataclass(slots=True)
class RequestContent:
    """What a request asks, and who asks.

    Parameters
    ----------
    target
        Path and query.
    caller
        IP number that its connection came from; empty if it is not known.
    """

    method: bytes
    host: str
    target: bytes
    caller: str
    body: bytes
    _fingerprint: int | None = field(default=None, repr=False)

    @property
    def fingerprint(self) -> int:
        """A number of 64 bits that requests of other content do not have.

        Worked out when it is first asked for: most requests never need one.
        """
        if self._fingerprint is None:
            self._fingerprint = self._hashed()
        return self._fingerprint

    def _hashed(self) -> int:
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        parts = (self.method, self.host.encode(), self.target, self.caller.encode(), self.body)
        for part in parts:
            digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
            digest.update(part)
        return int.from_bytes(digest.digest(), "big")


def shown(fingerprint: int) -> str:
    """Write a fingerprint as log lines do."""
    return f"{fingerprint:0{2 * FINGERPRINT_BYTES}x}"
