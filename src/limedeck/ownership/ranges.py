"""State of a key range at the leader: its owner, and until when a back end may still hold it."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.identity import NEVER, Seconds

NO_OWNER = ""


class Phase(enum.Enum):
    """Phase of a range between two changes of its owner.

    OWNED
        The recorded owner has a grant, or will get one.
    RELEASING
        The owner is ordered to release the range.
    FREE
        No back end can hold the range, and its next owner is not recorded yet.
    """

    OWNED = "owned"
    RELEASING = "releasing"
    FREE = "free"


class OwnerChangeCause(enum.Enum):
    """Cause of a change of a range's owner."""

    FIRST = "first"
    LEAVING = "leaving"
    SILENT = "silent"
    FAILING = "failing"
    BALANCE = "balance"


@dataclass(slots=True)
class RangeState:
    """State of the keys from `first` to `last`, both inclusive.

    Parameters
    ----------
    owner
        Owner as recorded in the store, or `NO_OWNER`.
    fence
        Fence of the newest order for these keys.
    held_until
        Time after which no grant that was sent can be in force, unless it arrives late.
    sent_until
        The same for grants of this leader only: once the owner has confirmed one of them, its fence
        keeps out grants of earlier leaders.
    confirmed_until
        Time until which the owner certainly holds the keys.
    next_order
        Time at which the next order is due.
    order_pending
        Whether an order was sent that has neither a response nor timed out.
    handover
        Token of the former owner, for the next one.
    target
        Next owner, or `NO_OWNER` if none is chosen.
    cause
        Cause of the last change of the owner, or of the one in progress.
    """

    first: int
    last: int
    owner: str = NO_OWNER
    phase: Phase = Phase.FREE
    fence: int = 0
    held_until: Seconds = NEVER
    sent_until: Seconds = NEVER
    confirmed_until: Seconds = NEVER
    next_order: Seconds = NEVER
    order_pending: bool = False
    handover: str = ""
    target: str = NO_OWNER
    cause: OwnerChangeCause = OwnerChangeCause.FIRST

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    @property
    def is_stable(self) -> bool:
        """Whether the owner has confirmed a grant, and no handover token has to be sent."""
        return self.phase is Phase.OWNED and self.confirmed_until != NEVER and not self.handover

    @property
    def routable_owner(self) -> str:
        """Owner that may get requests for these keys, or `NO_OWNER`.

        An unresponsive owner may still hold its keys while they are released. One that leaves or
        gives up load no longer holds them once it has responded, and gets no requests from the
        start of the release on.
        """
        if self.phase is Phase.RELEASING and self.cause is not OwnerChangeCause.SILENT:
            return NO_OWNER
        if self.phase is Phase.FREE or self.confirmed_until == NEVER:
            return NO_OWNER
        return self.owner

    def begin_ownership(self, owner: str, fence: int) -> None:
        """Set the recorded owner, which is to be granted the keys under this fence."""
        self.owner = owner
        self.phase = Phase.OWNED
        self.fence = fence
        self.target = NO_OWNER
        self.sent_until = NEVER
        self.confirmed_until = NEVER
        self.next_order = NEVER
        self.order_pending = False

    def split_at(self, position: int) -> RangeState:
        """Keep the keys below `position`, and return the others as a range with the same owner.

        The new range has no pending order and no handover token.
        """
        upper = RangeState(
            position,
            self.last,
            self.owner,
            self.phase,
            self.fence,
            self.held_until,
            self.sent_until,
            self.confirmed_until,
            NEVER,
            False,
            "",
            self.target,
            self.cause,
        )
        self.last = position - 1
        return upper
