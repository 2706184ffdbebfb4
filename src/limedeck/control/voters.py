"""Who should vote in a control group: one change at a time towards a spread over zones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence

from limedeck.control.consensus import majority
from limedeck.identity import GroupId, Voter
from limedeck.keyspace.hashing import rendezvous_weight


def wanted_voter_count(available: int, limit: int) -> int:
    """Largest odd number of voters that the available nodes and the limit allow."""
    count = min(available, limit)
    return count if count % 2 == 1 else max(count - 1, 1)


def plan_voter_change(
    group: GroupId,
    leader: Voter,
    voters: Sequence[Voter],
    lost: Collection[Voter],
    candidates: Sequence[Voter],
    limit: int,
) -> tuple[Voter, ...] | None:
    """Plan the next voter set, which differs by one voter, or None when nothing should change.

    A lost voter is removed only when another node can take its place: a smaller set would not
    tolerate more, and would hold fewer copies.

    Parameters
    ----------
    voters
        The set in force.
    lost
        Voters that do not answer or are leaving.
    candidates
        Nodes that may become voters; those that vote already are passed over.
    limit
        Greatest number of voters.
    """
    spare = [node for node in candidates if node not in voters and node.node_id != leader.node_id]
    spare = [node for node in spare if node.node_id not in _live_ids(voters, lost)]
    healthy = [voter for voter in voters if voter not in lost]
    wanted = wanted_voter_count(len(healthy) + len(spare), limit)
    removable = [voter for voter in lost if voter in voters and voter != leader]
    if removable and spare and _survives_removal(voters, healthy):
        gone = min(removable, key=lambda voter: voter.node_id)
        return tuple(voter for voter in voters if voter != gone)
    if len(voters) < wanted and spare:
        return (*voters, _best_spare(group, healthy, spare))
    if len(voters) > limit and not removable:
        extra = _most_crowded(voters, leader)
        return tuple(voter for voter in voters if voter != extra)
    return None


def _live_ids(voters: Sequence[Voter], lost: Collection[Voter]) -> set[str]:
    return {voter.node_id for voter in voters if voter not in lost}


def _survives_removal(voters: Sequence[Voter], healthy: Sequence[Voter]) -> bool:
    return len(healthy) >= majority(len(voters) - 1)


def _best_spare(group: GroupId, healthy: Sequence[Voter], spare: Sequence[Voter]) -> Voter:
    in_zone = Counter(voter.zone for voter in healthy)
    return min(
        spare,
        key=lambda node: (in_zone[node.zone], -rendezvous_weight(node.node_id, group)),
    )


def _most_crowded(voters: Sequence[Voter], leader: Voter) -> Voter:
    in_zone = Counter(voter.zone for voter in voters)
    others = [voter for voter in voters if voter != leader]
    return max(others, key=lambda voter: (in_zone[voter.zone], voter.node_id))
