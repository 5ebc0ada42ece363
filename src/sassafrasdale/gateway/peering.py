"""What gateways tell each other, over HTTP, a few times a second.

Each gateway sends its own state to some of the others and gets theirs back, with
what they have heard of third ones. Nothing agreed rests on this: it carries loads,
demand, usage counts, and how far each has followed the store.
"""

from collections.abc import Callable
from datetime import timedelta
from math import exp
from random import Random

from logbook import Logger
from pydantic import ValidationError

from sassafrasdale.clock import Clock
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.peer_states import (
    EXCHANGE_FORM,
    STORE_VALUES_FORM,
    Exchange,
    PeerState,
    StoreValues,
)
from sassafrasdale.gateway.usage import ClockReading
from sassafrasdale.green import sleep, spawn
from sassafrasdale.http.connections import HttpClient
from sassafrasdale.http.exceptions import HttpError
from sassafrasdale.http.messages import Answer, Request
from sassafrasdale.http.server import ServerConnection
from sassafrasdale.structures import Address

log = Logger("peering")

# Time between two rounds of exchanges.
ROUND = timedelta(milliseconds=400)
# A peer heard of within this part of a round is not asked again.
RECENT_SHARE = 0.7
# Peers that are asked in a round; in a larger fleet news takes a round or two more.
FAN_OUT = 10
# States of others that an exchange passes on in such a fleet, and how fresh they are.
# Passing all on would make messages grow with the fleet, and their bytes with its
# square.
PASSED_ON = 5
NEWS_AGE = timedelta(seconds=1)
# An exchange between neighbours takes a few milliseconds.
EXCHANGE_LIMIT = timedelta(milliseconds=700)
# A peer that was heard of this lately is in touch: a few rounds may go wrong.
FRESH = timedelta(seconds=1.5)
# A peer that has not been heard of for this long is held to be gone.
LIFETIME = timedelta(seconds=5)
# A peer that is gone is still tried now and then, in case this gateway was cut off.
REVISIT = timedelta(seconds=2)
FORGET = timedelta(seconds=60)
_EXCHANGE = "/exchange"
_VALUES = "/values/"


class Peer:
    """What is known of another gateway."""

    def __init__(self, state: PeerState, clock: Clock) -> None:
        self.state = state
        self.heard_at = clock.elapsed()
        self.tried_at = timedelta()
        self.client = HttpClient(state.address, clock, EXCHANGE_LIMIT)


class Peering:
    """Keeps the states of the other gateways, and tells them this one's.

    :param name: name of this gateway.
    :param make_state: returns this gateway's present state.
    :param heard: told of each newer state of a peer, and whether it came from there.
    :param values_below: raw values of a prefix, for a peer that asks.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        name: str,
        make_state: Callable[[], PeerState],
        heard: Callable[[PeerState, bool], None],
        values_below: Callable[[str], StoreValues | None],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._name = name
        self._make_state = make_state
        self._heard = heard
        self._values_below = values_below
        self._clock = clock
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._dependency = Dependency("peers", clock)

    def alive(self) -> list[PeerState]:
        """Return the states of the peers heard of lately that are not leaving."""
        return [state for state, _ in self.told()]

    def told(self) -> list[tuple[PeerState, timedelta]]:
        """Return the same states, and how long ago each was heard."""
        now = self._clock.elapsed()
        return [
            (peer.state, now - peer.heard_at)
            for peer in self._peers.values()
            if peer.state.incarnation
            and now - peer.heard_at <= LIFETIME
            and not peer.state.leaving
        ]

    def names_holder(self) -> bool:
        """Return whether a peer in touch says that it has the duties.

        Only word from just now counts: a holder that was killed is believed to have
        them until then, and nobody asks the store for the lease.
        """
        now = self._clock.elapsed()
        return any(
            peer.state.duty is not None
            and not peer.state.leaving
            and now - peer.heard_at <= FRESH
            for peer in self._peers.values()
        )

    def all_told_since(self, time: float) -> bool:
        """Return whether each peer in touch has told its state since a true time.

        :param time: seconds since 1970.
        """
        peers = [peer for peer in self._peers.values() if not peer.state.leaving]
        return bool(peers) and all(peer.state.time.true >= time for peer in peers)

    def may_have_older(self, incarnation: int) -> bool:
        """Return whether a peer started earlier, or none is known to have yet.

        A peer that the store lists and that was never heard may be an older one.
        """
        return any(
            peer.state.incarnation < incarnation and not peer.state.leaving
            for peer in self._peers.values()
        )

    def work(self, service: str, window: timedelta) -> float:
        """Return the engine time a second that the peers' requests for a service take.

        That of a peer which stopped or fell silent fades in as much time as it takes
        to show at the others, where its callers go.

        :param window: time over which each gateway averages its own.
        """
        now = self._clock.elapsed()
        total = 0.0
        for peer in self._peers.values():
            silence = max(now - peer.heard_at - FRESH, timedelta())
            total += peer.state.work.get(service, 0.0) * exp(-(silence / window))
        return total

    def count(self) -> int:
        """Return how many gateways there are, silent ones and this one included.

        A peer that is silent may be cut off, and spend its part of what is shared.
        """
        return 1 + sum(not peer.state.leaving for peer in self._peers.values())

    def silent(self) -> list[str]:
        """Return the names of the gateways that were not heard of just now."""
        now = self._clock.elapsed()
        return [
            name
            for name, peer in self._peers.items()
            if not peer.state.leaving
            and (not peer.state.incarnation or now - peer.heard_at > FRESH)
        ]

    def introduce(self, name: str, address: Address) -> None:
        """Take a peer that the store lists, to be asked in the next round."""
        if name == self._name or name in self._peers:
            return
        state = PeerState(name, 0, 0, address.host, address.port, ClockReading(0, 0, 0))
        self._peers[name] = Peer(state, self._clock)
        log.info("peer introduced", peer=name, address=str(address))

    def run(self) -> None:
        """Exchange states until the task is killed."""
        while True:
            self.round()
            sleep(ROUND * self._rng.uniform(0.9, 1.1))

    def round(self) -> None:
        """Start an exchange with some of the peers."""
        now = self._clock.elapsed()
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at > FORGET:
                peer.client.close()
                del self._peers[name]
                log.info("peer forgotten", peer=name)
        due = [peer for peer in self._peers.values() if self._is_due(peer, now)]
        if len(due) > FAN_OUT:
            due = self._rng.sample(due, FAN_OUT)
        for peer in due:
            peer.tried_at = now
            spawn(self._exchange, peer)

    def greet(self) -> None:
        """Start an exchange with the peers that were introduced and never heard.

        Without it, a gateway that has just started would wait for the next round, and
        until then leave the parts of limits to peers that it hasn't heard.
        """
        new = [
            peer
            for peer in self._peers.values()
            if not peer.state.incarnation and not peer.tried_at
        ]
        for peer in new[:FAN_OUT]:
            peer.tried_at = self._clock.elapsed()
            spawn(self._exchange, peer)

    def tell_all(self) -> None:
        """Send this gateway's state to all peers now, and wait for that."""
        tasks = [spawn(self._exchange, peer) for peer in self._peers.values()]
        for task in tasks:
            task.wait()

    def fetch(self, peer_name: str, prefix: str) -> StoreValues | None:
        """Return what a peer holds below a prefix of the store, if it answers."""
        peer = self._peers.get(peer_name)
        if peer is None:
            return None
        try:
            answer = peer.client.call(Request("GET", _VALUES + prefix), EXCHANGE_LIMIT)
            if answer.status != 200:
                return None
            return STORE_VALUES_FORM.validate_json(answer.body)
        except (HttpError, ValidationError) as error:
            log.info("peer gave no values", peer=peer_name, why=str(error))
            return None

    def answer(self, connection: ServerConnection, request: Request) -> None:
        """Answer a peer."""
        if request.target.startswith(_VALUES):
            answer = self._answer_values(request.target.removeprefix(_VALUES))
        elif request.target == _EXCHANGE:
            answer = self._answer_exchange(request)
        else:
            answer = Answer(404)
        connection.answer(answer.status, answer.headers, answer.body)

    def _answer_values(self, prefix: str) -> Answer:
        values = self._values_below(prefix)
        if values is None:
            return Answer(404)
        return Answer(200, body=STORE_VALUES_FORM.dump_json(values))

    def _answer_exchange(self, request: Request) -> Answer:
        try:
            self._take(EXCHANGE_FORM.validate_json(request.body))
        except ValidationError as error:
            log.warning("exchange malformed", why=str(error))
            return Answer(400)
        return Answer(200, body=self._message())

    def _is_due(self, peer: Peer, now: timedelta) -> bool:
        # An exchange goes both ways, so one side's is enough for a round.
        if now - peer.heard_at < ROUND * RECENT_SHARE and peer.state.incarnation:
            return False
        if now - peer.heard_at <= LIFETIME:
            return True
        return now - peer.tried_at >= REVISIT

    def _message(self) -> bytes:
        states = [self._make_state()]
        if len(self._peers) > FAN_OUT:
            now = self._clock.elapsed()
            fresh = [
                peer.state
                for peer in self._peers.values()
                if peer.state.incarnation and now - peer.heard_at <= NEWS_AGE
            ]
            states += self._rng.sample(fresh, min(len(fresh), PASSED_ON))
        return EXCHANGE_FORM.dump_json(Exchange(tuple(states)))

    def _exchange(self, peer: Peer) -> None:
        request = Request("POST", _EXCHANGE, body=self._message())
        try:
            answer = peer.client.call(request, EXCHANGE_LIMIT)
            if answer.status == 200:
                self._take(EXCHANGE_FORM.validate_json(answer.body))
            self._dependency.succeeded()
        except HttpError as error:
            log.debug("exchange failed", peer=peer.state.name, why=error.message)
        except ValidationError as error:
            log.warning("exchange malformed", peer=peer.state.name, why=str(error))

    def _take(self, exchange: Exchange) -> None:
        sender, *others = exchange.states
        self._take_state(sender, first_hand=True)
        for state in others:
            self._take_state(state, first_hand=False)

    def _take_state(self, state: PeerState, *, first_hand: bool) -> None:
        if state.name == self._name:
            return
        peer = self._peers.get(state.name)
        if peer is None:
            self._peers[state.name] = peer = Peer(state, self._clock)
            log.info("peer found", peer=state.name, address=str(state.address))
        elif state.incarnation != peer.state.incarnation and first_hand:
            # A restart after its machine's clock was set back looks older.
            log.info("peer started anew", peer=state.name)
        elif state.age_key <= peer.state.age_key:
            return
        if state.address != peer.state.address:
            peer.client.close()
            peer.client = HttpClient(state.address, self._clock, EXCHANGE_LIMIT)
        peer.state = state
        peer.heard_at = self._clock.elapsed()
        self._heard(state, first_hand)
