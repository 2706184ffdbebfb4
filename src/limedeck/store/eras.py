"""Eras of a store, as its responses state them: the current one, and what is of an earlier one.

A store begins another era each time that it returns from a copy. What was read from it before names
other rows afterwards, so it is neither continued nor used as a condition.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from limedeck import versions
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
            The era is not a whole number that versions can hold, or is stated repeatedly.
        EarlierEra
            A later era has begun already.
        """
        if not statements:
            return self.current
        if len(statements) > 1 or not ERA_PATTERN.fullmatch(statements[0]):
            raise rows.StoreProtocolError(f"era {statements!r}")
        era = int(statements[0])
        if era > versions.MAX_ERA:
            raise rows.StoreProtocolError(f"era {era} is above {versions.MAX_ERA}")
        if era < self.current:
            raise rows.EarlierEra(era, self.current)
        self.current = era
        return era

    def check_conditions(self, conditions: Sequence[rows.RowCondition]) -> None:
        """Check that the conditions of a transaction are of the current era.

        Raises
        ------
        EraChanged
            A condition is of an earlier era, in which its version may have named another row.
        """
        for condition in conditions:
            era = versions.era_of(condition.version)
            if era != self.current:
                raise rows.EraChanged(era, self.current)

    def check_position(self, position: versions.StoreVersion) -> None:
        """Check that the position of a feed is of the current era.

        Raises
        ------
        HistoryGone
            The position is of an earlier era.
        """
        if versions.era_of(position) != self.current:
            raise rows.HistoryGone
