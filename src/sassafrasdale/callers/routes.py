"""Which handler answers which method and path."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from sassafrasdale.callers.messages import HttpAnswer, HttpRequest, problem

Handler = Callable[..., HttpAnswer]


@dataclass(frozen=True, slots=True)
class Route:
    """One handler and what it answers.

    :param methods: HTTP methods; empty for any.
    :param pattern: pattern of the whole path; its groups are the handler's
        further arguments.
    """

    methods: frozenset[str]
    pattern: re.Pattern
    handler: Handler


def route(methods: str, pattern: str, handler: Handler) -> Route:
    """Return the route for ``methods`` separated by blanks, ``*`` for any."""
    names = frozenset() if methods == "*" else frozenset(methods.split())
    return Route(names, re.compile(pattern), handler)


class Router:
    """Finds the handler of a request.

    :param routes: tried in this order.
    """

    def __init__(self, routes: list[Route]) -> None:
        self._routes = routes

    def answer(self, request: HttpRequest) -> HttpAnswer:
        """Return the handler's answer, or 404 or 405."""
        allowed: set[str] = set()
        for entry in self._routes:
            match = entry.pattern.fullmatch(request.path)
            if match is None:
                continue
            if not entry.methods or request.method in entry.methods:
                return entry.handler(request, **match.groupdict())
            allowed |= entry.methods
        if not allowed:
            return problem(404, "Not found", f"nothing at {request.path[:200]}")
        listed = ", ".join(sorted(allowed))
        wrong = problem(
            405, "Wrong method", f"{request.path[:200]} takes {listed}", field="method"
        )
        return wrong.with_headers(("Allow", listed))
