"""The gateways that are known, and who of a zone should be its aggregator."""

from collections.abc import Iterable
from datetime import timedelta

from logbook import Logger
from msgspec.structs import replace
from xxhash import xxh64_intdigest

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.aggregators import ordered
from sassafrasdale.gateway.peer_states import Contact

log = Logger("roster")

# A gateway that did not answer is passed over for this long. Then it is asked again:
# one that was paused or cut off for a moment should not stay out for good.
PASSED_OVER = timedelta(seconds=3)
# A gateway that was not heard of for this long, by anybody, is gone for good.
FORGET = timedelta(seconds=60)


class Roster:
    """Contacts of the other gateways, by name.

    :param own: this gateway's own contact.
    :param clock: source of elapsed time.
    """

    def __init__(self, own: Contact, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._contacts: dict[str, Contact] = {}
        self._heard_at: dict[str, timedelta] = {}
        self._passed_over: dict[str, timedelta] = {}

    def __len__(self) -> int:
        return len(self._contacts)

    @property
    def own(self) -> Contact:
        """Contact of this gateway itself."""
        return self._own

    def leave(self) -> None:
        """Note that this gateway is stopping."""
        self._own = replace(self._own, leaving=True)

    def get(self, name: str) -> Contact | None:
        """Return a gateway's contact, if it is known."""
        return self._contacts.get(name)

    def of_zone(self, zone: str) -> list[Contact]:
        """Return the other gateways of a zone that are not leaving."""
        return [
            contact
            for contact in self._contacts.values()
            if contact.zone == zone and not contact.leaving
        ]

    def own_zone(self) -> list[Contact]:
        """Return all gateways of this one's zone, itself and leaving ones too."""
        others = self._contacts.values()
        zone = self._own.zone
        return [self._own, *(other for other in others if other.zone == zone)]

    def zones(self) -> set[str]:
        """Return the zones of all gateways that are known."""
        return {contact.zone for contact in self._contacts.values()}

    def digest(self) -> int:
        """Return a number that is the same where the same of the zone is known."""
        known = sorted(
            (contact.name, contact.incarnation, contact.leaving)
            for contact in self.own_zone()
        )
        return xxh64_intdigest(repr(known).encode()) >> 1

    def candidate(self, zone: str) -> Contact | None:
        """Return the first of a zone's gateways that is not passed over."""
        own = self._own
        known = {contact.name: contact for contact in self.of_zone(zone)}
        if own.zone == zone and not own.leaving:
            known[own.name] = own
        now = self._clock.elapsed()
        powers = {name: contact.power for name, contact in known.items()}
        for name in ordered(zone, powers):
            if self._passed_over.get(name, now) <= now:
                return known[name]
        return None

    def is_passed_over(self, name: str) -> bool:
        """Return whether a gateway did not answer a moment ago."""
        now = self._clock.elapsed()
        return self._passed_over.get(name, now) > now

    def heard(self, contact: Contact) -> None:
        """Take what a gateway says of itself."""
        known = self._contacts.get(contact.name)
        self._passed_over.pop(contact.name, None)
        self._put(contact)
        if known is None:
            log.info(
                "peer found",
                peer=contact.name,
                zone=contact.zone,
                address=str(contact.address),
            )
        elif known.incarnation not in (0, contact.incarnation):
            log.info("peer started anew", peer=contact.name)

    def merge(self, contacts: Iterable[Contact]) -> None:
        """Take what others say of gateways: later starts, and that they leave."""
        for contact in contacts:
            known = self._contacts.get(contact.name)
            age = (contact.incarnation, contact.leaving)
            if contact.name != self._own.name and (
                known is None or age > (known.incarnation, known.leaving)
            ):
                self._put(contact)

    def failed(self, contact: Contact, reason: str) -> None:
        """Note that a gateway did not answer."""
        log.info("peer passed over", peer=contact.name, why=reason)
        self._passed_over[contact.name] = self._clock.elapsed() + PASSED_OVER

    def forget_old(self) -> None:
        """Drop the gateways that are gone for good."""
        now = self._clock.elapsed()
        for name, heard_at in list(self._heard_at.items()):
            if now - heard_at > FORGET:
                log.info("peer forgotten", peer=name)
                del self._contacts[name]
                del self._heard_at[name]
                self._passed_over.pop(name, None)

    def keep(self, names: Iterable[str]) -> None:
        """Note that gateways are known to live."""
        now = self._clock.elapsed()
        for name in names:
            if name in self._heard_at:
                self._heard_at[name] = now

    def _put(self, contact: Contact) -> None:
        self._contacts[contact.name] = contact
        self._heard_at[contact.name] = self._clock.elapsed()
