"""Orders to upstreams about the keys they hold (PROTOCOL.md, "Keys that upstreams hold")."""

from __future__ import annotations

import msgspec

from limedeck.forwarding.protocol import Headers
from limedeck.ownership.orders import Grant, OrderProtocol, OrderRequest, Release
from limedeck.platform.headers import EXPECTED_INSTANCE

HANDOVER = b"x-handover"
HIGHER_FENCE_SEEN = 409
OK = 200


class PlatformOrders(OrderProtocol):
    """The platform's grant and release calls."""

    def grant(self, order: Grant) -> OrderRequest:
        body: dict[str, object] = {
            "from": order.first,
            "target_version": order.last,
            "fence": order.fence,
            "hold_s": order.duration,
        }
        if order.handover:
            body["handover"] = order.handover
        return _request(b"/v1/grant", order.backend_id, body)

    def release(self, order: Release) -> OrderRequest:
        body: dict[str, object] = {
            "from": order.first,
            "target_version": order.last,
            "fence": order.fence,
        }
        return _request(b"/v1/release", order.backend_id, body)

    def is_done(self, status: int) -> bool:
        return status == OK

    def is_fenced_off(self, status: int) -> bool:
        return status == HIGHER_FENCE_SEEN

    def handover(self, headers: Headers) -> str:
        return dict(headers).get(HANDOVER, b"").decode("ascii", "replace")


def _request(path: bytes, backend_id: str, body: dict[str, object]) -> OrderRequest:
    headers = [
        (b"content-type", b"application/json"),
        (EXPECTED_INSTANCE, backend_id.encode()),
    ]
    return OrderRequest(path, headers, msgspec.json.encode(body))
