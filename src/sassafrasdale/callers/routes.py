"""Maps methods and paths to handlers."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from sassafrasdale.callers.messages import HttpRequest, HttpResponse, problem

Handler = Callable[..., HttpResponse]


@dataclass(frozen=True, slots=True)
class Route:
    """One handler, with the methods and paths that it serves.

    :param methods: HTTP methods; empty for any.
    :param pattern: matches the whole path; its groups are passed to the handler as
        keyword arguments.
    """

    methods: frozenset[str]
    pattern: re.Pattern
    handler: Handler


def route(methods: str, pattern: str, handler: Handler) -> Route:
    """Return the route for space-separated ``methods``, ``*`` for any."""
    names = frozenset() if methods == "*" else frozenset(methods.split())
    return Route(names, re.compile(pattern), handler)


class Router:
    """Passes each request to its handler.

    :param routes: routes, tried in this order.
    """

    def __init__(self, routes: list[Route]) -> None:
        self._routes = routes

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the handler's response, or a 404 or 405."""
        allowed: set[str] = set()
        for each in self._routes:
            match = each.pattern.fullmatch(request.path)
            if match is None:
                continue
            if not each.methods or request.method in each.methods:
                return each.handler(request, **match.groupdict())
            allowed |= each.methods
        if not allowed:
            return problem(404, "Not found", f"nothing at {request.path[:200]}")
        methods = ", ".join(sorted(allowed))
        response = problem(
            405, "Wrong method", f"{request.path[:200]} takes {methods}", field="method"
        )
        return response.with_headers(("Allow", methods))
