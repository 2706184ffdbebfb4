"""Choice of another node through which a request reaches a back end that this node does not reach.

Such a node is an intermediary: it makes the attempt and returns the response as it came. It sends
the request to the back end itself or not at all, so that a request passes through one intermediary
at most.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from limedeck.forwarding.hashing import hash_fraction
from limedeck.identity import NEVER, Seconds

AVOIDANCE_TIME: Seconds = 1.0
"""How long a node that could not be used as an intermediary is tried only after all others; the
leader's next list of intermediaries arrives within this time."""
NONE_ABLE_TIME: Seconds = 0.25
"""How long a node that found no usable intermediary asks none: their times of avoidance end one
after another, and each end would let a request wait for one more attempt in vain."""
FAILED_BACKEND_TIME: Seconds = 1.0
"""How long a back end that an intermediary did not reach either counts as failed."""


@dataclass(frozen=True, slots=True)
class Intermediary:
    """A node that attempts can be sent through.

    Parameters
    ----------
    address
        IP number and port on which it accepts attempts of other nodes.
    """

    address: str
    zone: str


class Intermediaries:
    """The intermediaries that one node knows, and what it has learned about them.

    Parameters
    ----------
    zone
        This node's zone; intermediaries in it are preferred.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._known: tuple[Intermediary, ...] = ()
        self._outstanding: Counter[str] = Counter()
        self._none_until: Seconds = NEVER
        self._avoided_until: dict[str, Seconds] = {}
        self._failed_until: dict[str, Seconds] = {}
        self._unreached_until: dict[tuple[str, str], Seconds] = {}

    @property
    def known(self) -> tuple[Intermediary, ...]:
        """All known intermediaries."""
        return self._known

    def set_known(self, known: Sequence[Intermediary]) -> None:
        """Replace the known intermediaries by those that the leader has sent."""
        self._known = tuple(known)
        addresses = {item.address for item in known}
        self._avoided_until = {
            key: until for key, until in self._avoided_until.items() if key in addresses
        }

    def has_any(self, now: Seconds) -> bool:
        """Whether an intermediary is known that was not found unusable lately."""
        if now < self._none_until:
            return False
        return any(not self._is_avoided(item, now) for item in self._known)

    def record_none_able(self, now: Seconds) -> None:
        """Record that an attempt found no intermediary that could be used."""
        if not self.has_any(now):
            self._none_until = now + NONE_ABLE_TIME

    def choose(
        self, backend_id: str, request_id: bytes, excluded: Collection[str], now: Seconds
    ) -> Intermediary | None:
        """Choose the less busy of two random intermediaries, of this zone if there are any.

        Parameters
        ----------
        backend_id
            The back end to be reached.
        excluded
            Addresses of those that were tried for this request.
        """
        left = [
            item
            for item in self._known
            if item.address not in excluded
            and not self._is_avoided(item, now)
            and now >= self._unreached_until.get((item.address, backend_id), NEVER)
        ]
        near = [item for item in left if item.zone == self._zone] or left
        if not near:
            return None
        first = near[int(hash_fraction(b"3" + request_id) * len(near))]
        others = [item for item in near if item is not first] or [first]
        second = others[int(hash_fraction(b"4" + request_id) * len(others))]
        return min(first, second, key=lambda item: self._outstanding[item.address])

    def _is_avoided(self, item: Intermediary, now: Seconds) -> bool:
        return now < self._avoided_until.get(item.address, NEVER)

    def record_sent(self, address: str) -> None:
        """Record that an attempt is sent through an intermediary."""
        self._outstanding[address] += 1

    def record_ended(self, address: str) -> None:
        """Record that an attempt through an intermediary has ended."""
        self._outstanding[address] -= 1
        if not self._outstanding[address]:
            del self._outstanding[address]

    def avoid(self, address: str, now: Seconds) -> None:
        """Record that an intermediary cannot be used now."""
        self._avoided_until[address] = now + AVOIDANCE_TIME

    def record_unreached(self, address: str, backend_id: str, now: Seconds) -> None:
        """Record that an intermediary does not reach a back end."""
        self._unreached_until = {
            key: until for key, until in self._unreached_until.items() if until > now
        }
        self._unreached_until[address, backend_id] = now + AVOIDANCE_TIME

    def record_failed_backend(self, backend_id: str, now: Seconds) -> None:
        """Record that neither this node nor an intermediary reaches a back end."""
        self._failed_until = {key: at for key, at in self._failed_until.items() if at > now}
        self._failed_until[backend_id] = now + FAILED_BACKEND_TIME

    def record_served_backend(self, backend_id: str) -> None:
        """Record that a back end responded through an intermediary."""
        self._failed_until.pop(backend_id, None)

    def is_backend_failed(self, backend_id: str, now: Seconds) -> bool:
        """Whether a back end was lately not reached by an intermediary either."""
        return now < self._failed_until.get(backend_id, NEVER)
