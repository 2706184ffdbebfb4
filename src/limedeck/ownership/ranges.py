"""A range of keys in its leader's eyes: who owns it, and until when who may still hold it."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.identity import NEVER, Seconds

NO_OWNER = ""


class Phase(enum.Enum):
    """Where a range is between two owners.

    OWNED
        The recorded owner has a grant, or gets one.
    RELEASING
        The owner is asked to give it up.
    FREE
        No back end can hold it; the next owner is not recorded yet.
    """

    OWNED = "owned"
    RELEASING = "releasing"
    FREE = "free"


class OwnerChangeCause(enum.Enum):
    """Why a range changes its owner."""

    FIRST = "first"
    LEAVING = "leaving"
    SILENT = "silent"
    FAILING = "failing"
    BALANCE = "balance"


@dataclass(slots=True)
class RangeState:
    """Keys from `first` to `last`, both inside.

    Parameters
    ----------
    owner
        As recorded in the store, or `NO_OWNER`.
    fence
        Of the newest order for these keys.
    held_until
        No grant that was sent can be in force after this, unless it is taken late.
    sent_until
        The same for the grants of this leader only: once the owner has answered one, its fence
        keeps out those of earlier leaders.
    confirmed_until
        The owner surely holds the keys until then.
    next_order
        When the next order is due.
    order_pending
        An order was sent that is neither answered nor lost.
    handover
        Token of the former owner.
    target
        Next owner, if it is chosen.
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
        """How many keys it holds."""
        return self.last - self.first + 1

    @property
    def is_stable(self) -> bool:
        """Whether its owner has confirmed it, and nothing is to be handed over."""
        return self.phase is Phase.OWNED and self.confirmed_until != NEVER and not self.handover

    @property
    def routable_owner(self) -> str:
        """Who may be sent requests for these keys, or `NO_OWNER`.

        An owner that is silent may have its keys yet; one that leaves, or is relieved, gives them
        up with its answer.
        """
        if self.phase is Phase.RELEASING and self.cause is not OwnerChangeCause.SILENT:
            return NO_OWNER
        if self.phase is Phase.FREE or self.confirmed_until == NEVER:
            return NO_OWNER
        return self.owner

    def begin_ownership(self, owner: str, fence: int) -> None:
        """The owner stands in the record, and is to be granted the keys under this fence."""
        self.owner = owner
        self.phase = Phase.OWNED
        self.fence = fence
        self.target = NO_OWNER
        self.sent_until = NEVER
        self.confirmed_until = NEVER
        self.next_order = NEVER
        self.order_pending = False

    def split_at(self, position: int) -> RangeState:
        """Keep the keys below a position, and return the rest as a range like this one."""
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
