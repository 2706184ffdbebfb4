"""Who should vote in a control group: one change at a time towards a spread over zones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from limedeck.control.consensus_state import majority
from limedeck.identity import GroupId, Voter
from limedeck.keyspace.hashing import rendezvous_weight


def wanted_voter_count(available: int, limit: int) -> int:
    """Largest odd number of voters that the available nodes and the limit allow."""
    count = min(available, limit)
    return count if count % 2 == 1 else max(count - 1, 1)


@dataclass(frozen=True)
class VoterSituation:
    """What the next voter set is planned from.

    Parameters
    ----------
    voters
        The set in force.
    lost
        Voters that do not answer any more.
    departing
        Voters that still vote but are about to stop, the leader left out.
    candidates
        Nodes that may become voters; those that vote already are passed over.
    leader_leaves
        The leader itself is about to stop.
    """

    group: GroupId
    leader: Voter
    voters: Sequence[Voter]
    lost: Collection[Voter]
    candidates: Sequence[Voter]
    departing: Collection[Voter] = ()
    leader_leaves: bool = False

    @property
    def voting(self) -> list[Voter]:
        """Voters that answer."""
        return [voter for voter in self.voters if voter not in self.lost]

    @property
    def staying(self) -> list[Voter]:
        """Voters that answer and will go on to."""
        return [voter for voter in self.voting if voter not in self.departing]


def plan_voter_change(situation: VoterSituation, limit: int) -> tuple[Voter, ...] | None:
    """Plan the next voter set, which differs by one voter, or None when nothing should change.

    A voter that is lost or departs is removed when another node can take its place, when the set
    is even, or when those that stay would be no majority of it. Otherwise it is left in: a
    smaller odd set would not tolerate more, and would hold fewer copies.

    Parameters
    ----------
    limit
        Greatest number of voters; odd.
    """
    voters = situation.voters
    spare = _spare_nodes(situation)
    wanted = wanted_voter_count(len(situation.staying) + len(spare), limit)
    gone = _next_to_remove(situation)
    is_even = len(voters) % 2 == 0
    would_lose_quorum = len(situation.staying) < majority(len(voters))
    if gone is not None and (spare or is_even or would_lose_quorum):
        return tuple(voter for voter in voters if voter != gone)
    needs_successor = situation.leader_leaves and len(voters) == 1
    if spare and (len(voters) < wanted or needs_successor):
        return (*voters, _best_spare(situation.group, situation.staying, spare))
    if len(voters) > limit:
        extra = _most_crowded(voters, situation.leader)
        return tuple(voter for voter in voters if voter != extra)
    return None


def _next_to_remove(situation: VoterSituation) -> Voter | None:
    """A lost voter, else a departing one, whose removal the others can agree on now."""
    for group in (situation.lost, situation.departing):
        removable = [voter for voter in group if voter in situation.voters]
        if not removable:
            continue
        gone = min(removable, key=lambda voter: voter.node_id)
        left = [voter for voter in situation.voting if voter != gone]
        if len(left) >= majority(len(situation.voters) - 1):
            return gone
    return None


def _spare_nodes(situation: VoterSituation) -> list[Voter]:
    """Candidates whose node does not vote already, in this run or in one that still lives."""
    taken = {voter.node_id for voter in (*situation.staying, situation.leader)}
    return [
        node
        for node in situation.candidates
        if node not in situation.voters and node.node_id not in taken
    ]


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
