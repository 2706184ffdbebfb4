"""Names of the messages between nodes, for metrics and measurements."""

from __future__ import annotations

from limedeck.api.peer_pb2 import PeerMessage

EMPTY = "empty"


def message_kind(message: PeerMessage) -> str:
    """Name a message by its innermost content."""
    kind = message.WhichOneof("body") or EMPTY
    if kind == "group":
        return message.group.WhichOneof("body") or EMPTY
    return kind
