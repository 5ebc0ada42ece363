"""A gateway's own links to all endpoints, which can fail together."""

import json

from sassafrasdale.structures import Address
from standins.links import Link, LinkFault

ENDPOINTS_PREFIX = "servers/"


class EndpointLinks:
    """Links from one gateway to the endpoints.

    The gateway's view of the store has the links' addresses in place of the endpoints'.
    """

    def __init__(self) -> None:
        self._links: dict[Address, Link] = {}
        self._fault: LinkFault | None = None

    def seen_as(self, key: str, value: bytes) -> bytes:
        """Return a value of the store as the gateway gets it."""
        if not key.startswith(ENDPOINTS_PREFIX):
            return value
        registration = json.loads(value)
        host, _, port = registration["addr"].partition(":")
        link = self._link(Address(host, int(port)))
        return json.dumps({**registration, "addr": str(link.address)}).encode()

    def begin(self, fault: LinkFault) -> None:
        """Apply a fault to all links until it is ended."""
        self._fault = fault
        for link in self._links.values():
            link.begin(fault)

    def end(self) -> None:
        """End the current fault of all links."""
        self._fault = None
        for link in self._links.values():
            link.end()

    def _link(self, target: Address) -> Link:
        link = self._links.get(target)
        if link is None:
            link = self._links[target] = Link(target)
            if self._fault is not None:
                link.begin(self._fault)
        return link
