"""Types of the interface between the HTTP server and an application (ASGI)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
"""Handles a request."""

OVERLAPPING = "limedeck.overlapping"
"""Key of a scope: the request was begun before those in front of it were answered, as one that may
be given up at any time."""
RECEIVED_AT = "limedeck.received_at"
"""Key of a scope: when the request was received, on this node's clock, if it may have waited for
its turn."""
CLOSE_BEHIND_LAST = "limedeck.close_behind_last"
"""Key of a scope: a function that closes the connection behind the last request that was received
on it. It is there if requests have been received behind this one; a response that closes the
connection would leave them unanswered."""
