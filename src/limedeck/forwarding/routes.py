"""Look-up of the route and the service of a request."""

from __future__ import annotations

import xxhash

from limedeck.model import Configuration, Route

HASH_RANGE = float(1 << 64)


class RouteIndex:
    """Routes of one configuration by host and path; a look-up takes one step per path segment."""

    def __init__(self, configuration: Configuration) -> None:
        self._routes = {(route.host, route.path_prefix): route for route in configuration.routes}

    def find(self, host: str, path: str) -> Route | None:
        """Find the route of this host with the longest prefix of the path; None if none matches."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


def choose_service(route: Route, request_id: bytes) -> str:
    """Choose one of the route's services by weight; always the same for the same request."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    total = sum(target.weight for target in targets)
    point = xxhash.xxh3_64_intdigest(request_id) / HASH_RANGE * total
    for target in targets:
        point -= target.weight
        if point < 0:
            return target.service
    return max(targets, key=lambda target: target.weight).service
