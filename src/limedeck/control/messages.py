"""Names of the kinds of messages between nodes, for metrics and measurements."""

from __future__ import annotations

from limedeck.api.peer_pb2 import PeerMessage

EMPTY = "empty"


def message_kind(message: PeerMessage) -> str:
    """Return the name of the message's innermost body field."""
    kind = message.WhichOneof("body") or EMPTY
    if kind == "group":
        return message.group.WhichOneof("body") or EMPTY
    return kind
