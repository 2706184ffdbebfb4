"""Messages with the owners of keys from a leader: all owners at first, then changes since."""

from __future__ import annotations

from limedeck import errors, identity
from limedeck.api import control_pb2
from limedeck.forwarding import owners


class PublishedOwners:
    """The newest owners of each service, and the messages that bring other nodes up to date."""

    def __init__(self) -> None:
        self._newest: dict[str, owners.OwnerMap] = {}
        self._messages: dict[tuple[str, int], control_pb2.ServiceOwners] = {}

    def publish(self, service: str, newest: owners.OwnerMap) -> None:
        """Set a service's newest owners."""
        self._newest[service] = newest
        self._messages = {key: item for key, item in self._messages.items() if key[0] != service}

    def version(self, service: str) -> int:
        """Version of a service's newest owners; zero if there are none."""
        newest = self._newest.get(service)
        return newest.version if newest is not None else 0

    def clear(self) -> None:
        """Forget everything, since this node no longer leads."""
        self._newest.clear()
        self._messages.clear()

    def updates_since(self, sent: dict[str, owners.OwnerMap]) -> list[control_pb2.ServiceOwners]:
        """Return the messages that a node lacks.

        Parameters
        ----------
        sent
            Owners by service that were sent on the node's connection; updated.
        """
        messages = []
        for service, newest in self._newest.items():
            base = sent.get(service)
            if base is None or base.version != newest.version:
                messages.append(self._message(service, base, newest))
                sent[service] = newest
        return messages

    def _message(
        self, service: str, base: owners.OwnerMap | None, newest: owners.OwnerMap
    ) -> control_pb2.ServiceOwners:
        key = (service, base.version if base is not None else 0)
        message = self._messages.get(key)
        if message is None:
            message = _encode_owners(service, base, newest)
            self._messages[key] = message
        return message


def read_owners(
    message: control_pb2.ServiceOwners,
    known: owners.OwnerMap,
    clock_lead: identity.Seconds = 0.0,
) -> owners.OwnerMap:
    """Apply a leader's message to known owners.

    Parameters
    ----------
    known
        Owners that this node knows.
    clock_lead
        By how much this node's clock is ahead of the leader's, in seconds.

    Raises
    ------
    PeerProtocolError
        The message contains changes to a version that this node does not know.
    """
    ranges = tuple(_read_range(item, clock_lead) for item in message.ranges)
    if not message.base_version:
        return owners.OwnerMap(message.version, ranges)
    if message.base_version != known.version:
        raise errors.PeerProtocolError(
            f"owner changes since version {message.base_version}, known version is {known.version}"
        )
    return known.changed(message.version, ranges)


def _read_range(item: control_pb2.OwnedKeys, clock_lead: identity.Seconds) -> owners.OwnedRange:
    free_at = item.free_at + clock_lead if item.HasField("free_at") else None
    return owners.OwnedRange(item.first, item.last, item.owner, free_at)


def _encode_owners(
    service: str, base: owners.OwnerMap | None, newest: owners.OwnerMap
) -> control_pb2.ServiceOwners:
    ranges = newest.ranges
    base_version = 0
    if base is not None:
        changes = base.changes_to(newest)
        if len(changes) < len(ranges):
            ranges, base_version = changes, base.version
    keys = [
        control_pb2.OwnedKeys(
            first=item.first, last=item.last, owner=item.owner, free_at=item.free_at
        )
        for item in ranges
    ]
    return control_pb2.ServiceOwners(
        service=service, version=newest.version, ranges=keys, base_version=base_version
    )
