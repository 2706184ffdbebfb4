"""Eras of a store, as its responses state them.

A store begins another era each time that it returns from a copy.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from limedeck.store import rows

if TYPE_CHECKING:
    from collections.abc import Sequence


ERA_PATTERN = re.compile(rb"[0-9]{1,9}")


class EraTracker:
    """The latest era that the responses of a store have stated.

    Attributes
    ----------
    current
        The latest era; zero if no response has stated one.
    """

    def __init__(self) -> None:
        self.current = 0

    def record(self, statements: Sequence[bytes]) -> int:
        """Record what a response states of its era, and return the era that it is of.

        A response that states none is of the current era.

        Parameters
        ----------
        statements
            Values that the response states; more than one are invalid.

        Raises
        ------
        StoreProtocolError
            The era is not a whole number, or is stated repeatedly.
        """
        if not statements:
            return self.current
        if len(statements) > 1 or not ERA_PATTERN.fullmatch(statements[0]):
            raise rows.StoreProtocolError(f"era {statements!r}")
        era = int(statements[0])
        self.current = max(era, self.current)
        return era
