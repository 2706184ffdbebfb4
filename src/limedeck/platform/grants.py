"""Orders to upstreams about the keys they hold (PROTOCOL.md, "Keys that upstreams hold")."""

from __future__ import annotations

import msgspec

from limedeck.forwarding.protocol import Headers
from limedeck.ownership.orders import Grant, OrderProtocol, OrderRequest, Release
from limedeck.platform.headers import EXPECTED_INSTANCE, announces_leaving

HANDOVER = b"x-handover"
HIGHER_FENCE_SEEN = 409
OK = 200


class PlatformOrders(OrderProtocol):
    """The platform's grant and release calls."""

    def grant(self, order: Grant, instance: str) -> OrderRequest:
        body: dict[str, object] = {
            "from": order.first,
            "target_version": order.last,
            "fence": order.fence,
            "hold_s": order.duration,
        }
        if order.handover:
            body["handover"] = order.handover
        return _request(b"/v1/grant", instance, body)

    def release(self, order: Release, instance: str) -> OrderRequest:
        body: dict[str, object] = {
            "from": order.first,
            "target_version": order.last,
            "fence": order.fence,
        }
        return _request(b"/v1/release", instance, body)

    def is_done(self, status: int) -> bool:
        return status == OK

    def is_fenced_off(self, status: int) -> bool:
        return status == HIGHER_FENCE_SEEN

    def is_leaving(self, headers: Headers) -> bool:
        return announces_leaving(dict(headers))

    def is_release_response(self, status: int, headers: Headers) -> bool:
        return status == OK and any(name == HANDOVER for name, _ in headers)

    def handover(self, headers: Headers) -> str:
        return dict(headers).get(HANDOVER, b"").decode("ascii", "replace")


def _request(path: bytes, instance: str, body: dict[str, object]) -> OrderRequest:
    headers = [
        (b"content-type", b"application/json"),
        (EXPECTED_INSTANCE, instance.encode()),
    ]
    return OrderRequest(path, headers, msgspec.json.encode(body))
