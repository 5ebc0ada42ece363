"""Peers that are asked for their links and that may forward."""

from collections.abc import Callable, Collection
from contextlib import suppress
from datetime import timedelta
from random import Random

from logbook import Logger
from msgspec import DecodeError

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.forwarders import (
    ForwarderCandidate,
    ForwarderState,
    choose_forwarder,
)
from sassafrasdale.decisions.links import Reachability
from sassafrasdale.gateway.forwarding.messages import (
    CONTACTS,
    CONTACTS_TARGET,
    ENDPOINT_REACHABILITY,
    REACHABILITY_TARGET,
)
from sassafrasdale.gateway.peer_states import Contact
from sassafrasdale.gateway.roster import Roster
from sassafrasdale.green import Queue, Timeout, spawn, timeout
from sassafrasdale.http.connections import ConnectionPool, HttpClient
from sassafrasdale.http.exceptions import HttpError
from sassafrasdale.http.messages import Request, Response

log = Logger("forwarders")

# Peers of the own zone, and of the other zones together, that are asked at once.
ASKED_PER_SIDE = 2
# Timeout of a question: the peer's own check, and the way there and back.
ASK_TIMEOUT = timedelta(milliseconds=800)
# A peer is milliseconds away, and callers wait for the next one to be tried.
CONNECT_LIMIT = timedelta(milliseconds=200)
# Time for which the list of another zone's gateways is used.
CONTACTS_TTL = timedelta(seconds=10)


class Forwarders:
    """The other gateways as forwarders.

    :param roster: known gateways.
    :param clock: source of elapsed time.
    :param rng: source of randomness.
    """

    def __init__(self, roster: Roster, clock: Clock, rng: Random) -> None:
        self._roster = roster
        self._clock = clock
        self._rng = rng
        self._states: dict[str, ForwarderState] = {}
        self._clients: dict[str, HttpClient] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self._fetched: dict[str, Contact] = {}
        self._fetched_at: timedelta | None = None

    @property
    def has_peers(self) -> bool:
        """Whether any other gateway is known."""
        return bool(self._contacts())

    def state_of(self, name: str) -> ForwarderState:
        """Return what is known of a peer as a forwarder."""
        return self._states.setdefault(name, ForwarderState())

    def choose(self, excluded: Collection[str]) -> Contact | None:
        """Return the peer to forward an attempt through; None if there is none.

        :param excluded: peers that this attempt has tried.
        """
        contacts = {contact.name: contact for contact in self._contacts()}
        candidates = [
            ForwarderCandidate(
                contact.name,
                contact.zone == self._roster.own.zone,
                contact.cpu_cores,
            )
            for contact in contacts.values()
        ]
        for name in contacts:
            self.state_of(name)
        now = self._clock.elapsed()
        name = choose_forwarder(candidates, self._states, excluded, now, self._rng)
        return None if name is None else contacts[name]

    def pool_of(self, contact: Contact) -> ConnectionPool:
        """Return the connections to a peer for forwards."""
        pool = self._pools.get(contact.name)
        if pool is None or pool.address != contact.address:
            if pool is not None:
                pool.close()
            pool = ConnectionPool(contact.address, CONNECT_LIMIT, self._clock)
            self._pools[contact.name] = pool
        return pool

    def ask(self, endpoint: str) -> dict[str, Reachability]:
        """Ask peers at once whether they reach an endpoint.

        :returns: the answers by peer, up to the first that reaches it.
        """
        asked = self._peers_to_ask()
        answers: Queue = Queue()
        for contact in asked:
            spawn(self._ask_one, contact, endpoint, answers)
        received: dict[str, Reachability] = {}
        # Leaves answers that came in a pause of this process time to be read.
        with suppress(Timeout), timeout(ASK_TIMEOUT):
            for _ in asked:
                name, answer = answers.get()
                if answer is not None:
                    received[name] = answer
                if answer is Reachability.REACHED:
                    break
        return received

    def extend(self) -> None:
        """Fetch gateways of the other zones, of which only few are known here."""
        now = self._clock.elapsed()
        if self._fetched_at is not None and now - self._fetched_at < CONTACTS_TTL:
            return
        self._fetched_at = now
        self._fetched = {}
        zones = self._roster.zones() - {self._roster.own.zone}
        for task in [spawn(self._fetch_zone, zone) for zone in zones]:
            task.wait()

    def close_unlisted(self) -> None:
        """Close the connections to gateways that are no longer known."""
        if not self._clients and not self._pools and not self._states:
            return
        known = {contact.name for contact in self._contacts()}
        for clients in (self._clients, self._pools):
            for name in [name for name in clients if name not in known]:
                clients.pop(name).close()
        for name in [name for name in self._states if name not in known]:
            if not self._states[name].in_flight:
                del self._states[name]

    def _contacts(self) -> list[Contact]:
        roster = self._roster
        known = {
            contact.name: contact
            for zone in roster.zones()
            for contact in roster.in_zone(zone)
        }
        known |= {
            name: contact
            for name, contact in self._fetched.items()
            if name not in known and name != roster.own.name and not contact.leaving
        }
        return [
            contact for contact in known.values() if not roster.is_avoided(contact.name)
        ]

    def _peers_to_ask(self) -> list[Contact]:
        contacts = self._contacts()
        zone = self._roster.own.zone
        sides = (
            [contact for contact in contacts if contact.zone == zone],
            [contact for contact in contacts if contact.zone != zone],
        )
        return [
            contact
            for side in sides
            for contact in self._rng.sample(side, min(len(side), ASKED_PER_SIDE))
        ]

    def _ask_one(self, contact: Contact, endpoint: str, answers: Queue) -> None:
        response = self._get(contact, REACHABILITY_TARGET + endpoint)
        if response is not None:
            self.state_of(contact.name).heard_at = self._clock.elapsed()
        decoded = self._decode(contact, response, ENDPOINT_REACHABILITY.decode)
        answer = None if decoded is None else decoded.reachability
        if answer is not None:
            # Also if it comes too late for whoever asked.
            self.state_of(contact.name).is_proven = answer is Reachability.REACHED
        answers.put((contact.name, answer))

    def _fetch_zone(self, zone: str) -> None:
        for contact in self._roster.in_zone(zone):
            response = self._get(contact, CONTACTS_TARGET)
            decoded = self._decode(contact, response, CONTACTS.decode)
            if decoded is not None:
                self._fetched |= {each.name: each for each in decoded.contacts}
                return

    def _get(self, contact: Contact, target: str) -> Response | None:
        client = self._clients.get(contact.name)
        if client is None or client.address != contact.address:
            client = HttpClient(contact.address, self._clock, CONNECT_LIMIT)
            self._clients[contact.name] = client
        try:
            return client.call(Request("GET", target), ASK_TIMEOUT)
        except HttpError as error:
            log.debug("peer not asked", peer=contact.name, why=error.message)
            return None

    def _decode(
        self,
        contact: Contact,
        response: Response | None,
        decode: Callable[[bytes], object],
    ) -> object | None:
        if response is None or response.status != 200:
            return None
        try:
            return decode(response.body)
        except DecodeError as error:
            log.warning("malformed response", peer=contact.name, why=str(error))
            return None
