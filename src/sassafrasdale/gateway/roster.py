"""Known gateways, and the preferred aggregator of each zone."""

from collections.abc import Iterable
from datetime import timedelta

from logbook import Logger
from msgspec.structs import replace
from xxhash import xxh64_intdigest

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.aggregators import rank_aggregators
from sassafrasdale.gateway.peer_states import Contact

log = Logger("roster")

# A gateway that did not respond is avoided for this long and then tried again, since it
# may only have been paused or partitioned for a moment.
AVOID_TIME = timedelta(seconds=3)
# A gateway from which nobody has received anything for this long is removed.
RETENTION_TIME = timedelta(seconds=60)


class Roster:
    """Contacts of the other gateways, by name.

    :param own: this gateway's own contact.
    :param clock: source of elapsed time.
    """

    def __init__(self, own: Contact, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._contacts: dict[str, Contact] = {}
        self._last_seen_at: dict[str, timedelta] = {}
        self._avoided_until: dict[str, timedelta] = {}

    def __len__(self) -> int:
        return len(self._contacts)

    @property
    def own(self) -> Contact:
        """Contact of this gateway itself."""
        return self._own

    def leave(self) -> None:
        """Mark this gateway as shutting down."""
        self._own = replace(self._own, leaving=True)

    def get(self, name: str) -> Contact | None:
        """Return a gateway's contact, if it is known."""
        return self._contacts.get(name)

    def in_zone(self, zone: str) -> list[Contact]:
        """Return the other gateways of a zone that are not shutting down."""
        return [
            contact
            for contact in self._contacts.values()
            if contact.zone == zone and not contact.leaving
        ]

    def own_zone_contacts(self) -> list[Contact]:
        """Return all gateways of this zone, itself and leaving ones included."""
        others = self._contacts.values()
        zone = self._own.zone
        return [self._own, *(other for other in others if other.zone == zone)]

    def zones(self) -> set[str]:
        """Return the zones of all known gateways."""
        return {contact.zone for contact in self._contacts.values()}

    def digest(self) -> int:
        """Return a digest of what is known of this zone's gateways."""
        known = sorted(
            (contact.name, contact.incarnation, contact.leaving)
            for contact in self.own_zone_contacts()
        )
        return xxh64_intdigest(repr(known).encode()) >> 1

    def aggregator_candidate(self, zone: str) -> Contact | None:
        """Return the first of a zone's ranked gateways that is not avoided."""
        own = self._own
        known = {contact.name: contact for contact in self.in_zone(zone)}
        if own.zone == zone and not own.leaving:
            known[own.name] = own
        now = self._clock.elapsed()
        cpu_cores = {name: contact.cpu_cores for name, contact in known.items()}
        for name in rank_aggregators(zone, cpu_cores):
            if self._avoided_until.get(name, now) <= now:
                return known[name]
        return None

    def is_avoided(self, name: str) -> bool:
        """Return whether a gateway recently failed to respond."""
        now = self._clock.elapsed()
        return self._avoided_until.get(name, now) > now

    def record_contact(self, contact: Contact) -> None:
        """Record a contact that came from the gateway itself."""
        known = self._contacts.get(contact.name)
        self._avoided_until.pop(contact.name, None)
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
        """Merge contacts from other gateways: later starts, and shutdowns."""
        for contact in contacts:
            known = self._contacts.get(contact.name)
            order = (contact.incarnation, contact.leaving)
            if contact.name != self._own.name and (
                known is None or order > (known.incarnation, known.leaving)
            ):
                self._put(contact)

    def record_failure(self, contact: Contact, reason: str) -> None:
        """Record that a gateway did not respond."""
        log.info("peer passed over", peer=contact.name, why=reason)
        self._avoided_until[contact.name] = self._clock.elapsed() + AVOID_TIME

    def remove_expired(self) -> None:
        """Remove the gateways whose retention time has passed."""
        now = self._clock.elapsed()
        for name, last_seen_at in list(self._last_seen_at.items()):
            if now - last_seen_at > RETENTION_TIME:
                log.info("peer forgotten", peer=name)
                del self._contacts[name]
                del self._last_seen_at[name]
                self._avoided_until.pop(name, None)

    def mark_alive(self, names: Iterable[str]) -> None:
        """Record that gateways are known to be alive."""
        now = self._clock.elapsed()
        for name in names:
            if name in self._last_seen_at:
                self._last_seen_at[name] = now

    def _put(self, contact: Contact) -> None:
        self._contacts[contact.name] = contact
        self._last_seen_at[contact.name] = self._clock.elapsed()
