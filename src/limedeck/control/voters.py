"""Planning of a control group's voters: one change at a time, spread over zones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from limedeck.control.consensus_state import majority
from limedeck.identity import GroupId, Voter
from limedeck.keyspace.hashing import rendezvous_weight


def target_voter_count(available: int, limit: int) -> int:
    """Largest odd number of voters that the available nodes and the limit allow."""
    count = min(available, limit)
    return count if count % 2 == 1 else max(count - 1, 1)


@dataclass(frozen=True)
class VoterPlanInputs:
    """Inputs from which the next voter set is planned.

    Parameters
    ----------
    voters
        The voter set in force.
    lost
        Voters that have certainly ended or stopped responding.
    departing
        Voters that still vote but are about to stop, without the leader.
    candidates
        Nodes that may become voters; current voters among them are ignored.
    leader_leaves
        Whether the leader itself is about to stop.
    """

    group: GroupId
    leader: Voter
    voters: Sequence[Voter]
    lost: Collection[Voter]
    candidates: Sequence[Voter]
    departing: Collection[Voter] = ()
    leader_leaves: bool = False

    @property
    def responsive(self) -> list[Voter]:
        """Voters that are not lost."""
        return [voter for voter in self.voters if voter not in self.lost]

    @property
    def remaining(self) -> list[Voter]:
        """Voters that are neither lost nor departing."""
        return [voter for voter in self.responsive if voter not in self.departing]


def plan_voter_change(inputs: VoterPlanInputs, limit: int) -> tuple[Voter, ...] | None:
    """Plan the next voter set, which differs by one voter, or None when nothing should change.

    A voter that is lost or departing is removed if another node can replace it, if the number of
    voters is even, or if the remaining voters would not be a majority. Otherwise it is kept: the
    smaller set would tolerate no more failures and would hold fewer copies.

    Parameters
    ----------
    limit
        Maximum number of voters; odd.
    """
    voters = inputs.voters
    spare = _spare_nodes(inputs)
    target_count = target_voter_count(len(inputs.remaining) + len(spare), limit)
    to_remove = _next_to_remove(inputs)
    is_even = len(voters) % 2 == 0
    would_lose_quorum = len(inputs.remaining) < majority(len(voters))
    if to_remove is not None and (spare or is_even or would_lose_quorum):
        return tuple(voter for voter in voters if voter != to_remove)
    needs_successor = inputs.leader_leaves and len(voters) == 1
    if spare and (len(voters) < target_count or needs_successor):
        return (*voters, _best_spare(inputs.group, inputs.remaining, spare))
    if len(voters) > limit:
        extra = _voter_in_fullest_zone(voters, inputs.leader)
        return tuple(voter for voter in voters if voter != extra)
    return None


def _next_to_remove(inputs: VoterPlanInputs) -> Voter | None:
    """A lost voter, else a departing one, whose removal the other voters can commit now."""
    for group in (inputs.lost, inputs.departing):
        removable = [voter for voter in group if voter in inputs.voters]
        if not removable:
            continue
        to_remove = min(removable, key=lambda voter: voter.node_id)
        others = [voter for voter in inputs.responsive if voter != to_remove]
        if len(others) >= majority(len(inputs.voters) - 1):
            return to_remove
    return None


def _spare_nodes(inputs: VoterPlanInputs) -> list[Voter]:
    """Candidates whose node is no voter yet, neither by this run nor by a remaining one."""
    voting_nodes = {voter.node_id for voter in (*inputs.remaining, inputs.leader)}
    return [
        node
        for node in inputs.candidates
        if node not in inputs.voters and node.node_id not in voting_nodes
    ]


def _best_spare(group: GroupId, remaining: Sequence[Voter], spare: Sequence[Voter]) -> Voter:
    in_zone = Counter(voter.zone for voter in remaining)
    return min(
        spare,
        key=lambda node: (in_zone[node.zone], -rendezvous_weight(node.node_id, group)),
    )


def _voter_in_fullest_zone(voters: Sequence[Voter], leader: Voter) -> Voter:
    in_zone = Counter(voter.zone for voter in voters)
    others = [voter for voter in voters if voter != leader]
    return max(others, key=lambda voter: (in_zone[voter.zone], voter.node_id))
