"""Choice of the back ends that are probed beside suspected ones."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from limedeck.forwarding.hashing import hash_fraction
from limedeck.identity import NEVER, Seconds

OTHERS_PER_ROUND = 2
"""Back ends in a round of probes that are not suspected: they show whether the node itself is at
fault."""
SIBLINGS_PER_ROUND = 2
"""Back ends in a round that are of the same services as the suspected ones."""


def choose_siblings(
    suspects: Collection[str],
    unreached: Collection[str],
    services: Mapping[str, str],
    responses: Mapping[str, Seconds],
) -> list[str]:
    """Choose back ends of the suspects' services: if they are unreached too, links are lost.

    Parameters
    ----------
    services
        The service of each listed back end.
    responses
        When each back end last responded.
    """
    suspected = {services[key] for key in suspects if key in services}
    siblings = [
        key
        for key, service in services.items()
        if service in suspected and key not in unreached and key not in suspects
    ]
    siblings.sort(key=lambda key: responses.get(key, NEVER))
    return siblings[:SIBLINGS_PER_ROUND]


def choose_others(
    excluded: Collection[str],
    services: Mapping[str, str],
    responses: Mapping[str, Seconds],
    salt: bytes,
) -> list[str]:
    """Choose back ends that show whether this node is at fault, the latest responding ones first.

    Parameters
    ----------
    salt
        Determines which ones are chosen among those that are equal.
    """
    others = [key for key in sorted(services) if key not in excluded]
    start = int(hash_fraction(salt) * len(others))
    others = others[start:] + others[:start]
    others.sort(key=lambda key: responses.get(key, NEVER), reverse=True)
    return others[:OTHERS_PER_ROUND]
