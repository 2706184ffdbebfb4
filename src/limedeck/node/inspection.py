"""Read-only views of a node's state for operators: the leader and why it was elected, the owners of
keys, and the conditions of back ends."""

from __future__ import annotations

import msgspec

from limedeck.clock import steady_clock
from limedeck.errors import LimedeckError
from limedeck.forwarding.backend_state import BackendState
from limedeck.forwarding.owners import OwnedRange, OwnerMap
from limedeck.identity import Seconds
from limedeck.node.asgi import Receive, Scope, Send
from limedeck.node.state import NodeState
from limedeck.ownership.election import ElectionCore
from limedeck.ownership.election_events import (
    Leadership,
    Role,
)
from limedeck.views import (
    ASSIGNMENT_PATH,
    LOCATE_PATH,
    STATUS_PATH,
    AssignmentView,
    BackendView,
    LeaderView,
    LocationView,
    ProblemView,
    RangeView,
    ServiceView,
    StatusView,
)

OK = 200
NOT_FOUND = 404
MAX_POSITION_LENGTH = 20
"""Characters; no key position has more digits."""
DECIMAL_PLACES = 3
"""Decimal places of times and loads in views."""


class NotShown(LimedeckError):
    """The requested view does not exist."""


class NodeInspector:
    """Builds the views of one node's state."""

    def __init__(self, node_id: str, zone: str, state: NodeState, election: ElectionCore) -> None:
        self._node_id = node_id
        self._zone = zone
        self._state = state
        self._election = election

    def status(self, now: Seconds) -> StatusView:
        """Return the state of the node, its leader, its services and its back ends."""
        state = self._state
        leadership = self._election.leadership(now)
        return StatusView(
            node=self._node_id,
            zone=self._zone,
            ready=state.is_ready(now),
            stopping=state.stopping,
            isolated=state.is_isolated(now),
            leads=self._election.role is Role.LEADER,
            nodes=state.fleet_size.latest(now),
            configuration=state.configuration.version if state.configuration else 0,
            leader=_leader_view(leadership) if leadership is not None else None,
            services=[
                _service_view(name, view.keyed, view.owners)
                for name, view in sorted(state.services.items())
            ],
            backends=[
                self._backend_view(item, now)
                for item in sorted(
                    state.directory.all_states(),
                    key=lambda item: (item.backend.service, item.backend.backend_id),
                )
            ],
            store_era=self._election.era,
            partitioned=state.directory.reachability.is_partitioned,
        )

    def assignment(self, service: str) -> AssignmentView:
        """Return the owners of a service's keys.

        Raises
        ------
        NotShown
            This node knows no keyed service of this name.
        """
        owners = self._owners(service)
        return AssignmentView(
            service, owners.version, [_range_view(item) for item in owners.ranges]
        )

    def locate(self, service: str, position: int, now: Seconds) -> LocationView:
        """Return the owner of a key.

        Raises
        ------
        NotShown
            This node knows no keyed service of this name, or no range contains the position.
        """
        owners = self._owners(service)
        for item in owners.ranges:
            if item.first <= position <= item.last:
                found = self._state.directory.find(item.owner)
                owner = self._backend_view(found, now) if found is not None else None
                return LocationView(service, position, _range_view(item), owner)
        raise NotShown(f"position {position} is in no key range of service {service}")

    def _owners(self, service: str) -> OwnerMap:
        view = self._state.services.get(service)
        if view is None or not view.keyed:
            raise NotShown(f"no keyed service is named {service}")
        return view.owners

    def _backend_view(self, state: BackendState, now: Seconds) -> BackendView:
        backend = state.backend
        bound = self._state.directory.availability.rate_bound(state, now)
        share = self._state.directory.share(state)
        return BackendView(
            backend=backend.backend_id,
            service=backend.service,
            zone=backend.zone,
            address=backend.address,
            conditions=self._conditions(state, now),
            bound=bound.rate if bound is not None else None,
            load=round(state.expected_load(now), DECIMAL_PLACES),
            waiting=state.queue_estimate(now).waiting.total,
            service_time=round(state.speed.lasting, DECIMAL_PLACES) or None,
            slowness=round(state.speed.present_slowness(now), DECIMAL_PLACES),
            share=None if share is None else round(share, DECIMAL_PLACES),
        )

    def _conditions(self, state: BackendState, now: Seconds) -> list[str]:
        directory = self._state.directory
        conditions = {
            "draining": state.backend.draining,
            "evacuated": state.backend.zone in directory.availability.evacuated,
            "cold": state.is_cold(now),
            "leaving": directory.leaving.leaving_since(state.backend.backend_id) is not None,
            "backing-off": directory.availability.check_backoff(state, now) is not None,
            "limited": directory.limits.rate(state.backend.backend_id) is not None,
            "passed-over": state.is_ejected(now),
            "unreached": directory.reachability.is_unreached(state.backend.backend_id),
        }
        return [name for name, applies in conditions.items() if applies]


class InspectionApplication:
    """ASGI application that serves the views of one node as JSON."""

    def __init__(self, inspector: NodeInspector) -> None:
        self._inspector = inspector

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a request."""
        try:
            status, view = OK, self._view(scope["path"])
        except NotShown as error:
            status, view = NOT_FOUND, ProblemView(str(error))
        body = msgspec.json.encode(view)
        headers = [(b"content-length", b"%d" % len(body)), (b"content-type", b"application/json")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    def _view(self, path: str) -> msgspec.Struct:
        if path == STATUS_PATH:
            return self._inspector.status(steady_clock())
        if path.startswith(ASSIGNMENT_PATH):
            return self._inspector.assignment(path.removeprefix(ASSIGNMENT_PATH))
        if path.startswith(LOCATE_PATH):
            service, _, position = path.removeprefix(LOCATE_PATH).rpartition("/")
            return self._inspector.locate(service, _position(position), steady_clock())
        raise NotShown(f"no view at {path}")


def _position(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_POSITION_LENGTH):
        raise NotShown(f"{text!r} is not a key position")
    return int(text)


def _leader_view(leadership: Leadership) -> LeaderView:
    return LeaderView(
        term=leadership.term,
        node=leadership.node_id,
        why=leadership.why,
        known_for=round(leadership.known_for, DECIMAL_PLACES),
        heard_ago=round(leadership.heard_ago, DECIMAL_PLACES),
        suspicion=leadership.suspicion.value if leadership.suspicion is not None else "",
    )


def _service_view(name: str, keyed: bool, owners: OwnerMap) -> ServiceView:
    unowned = sum(not item.owner for item in owners.ranges)
    return ServiceView(name, keyed, owners.version, len(owners.ranges), unowned)


def _range_view(item: OwnedRange) -> RangeView:
    return RangeView(item.first, item.last, item.owner)
