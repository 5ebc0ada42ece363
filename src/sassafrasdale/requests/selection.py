"""Which endpoint a request goes to: the directory's view, put to the policy."""

from sassafrasdale.endpoints.directory import Directory, Endpoint


class Selector:
    """Chooses endpoints of one entry.

    :param directory: the endpoints known.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def choose(self, service: str, avoid: frozenset[str]) -> Endpoint | None:
        """Return the endpoint for a request to ``service``, or None."""
        candidates = [
            e for e in self._directory.serving(service) if e.name not in avoid
        ]
        return min(candidates, key=lambda e: e.in_flight, default=None)
