"""Exchange of state between the gateways.

Each gateway reports its state a few times a second to an aggregator in its zone, and
gets the totals over all others in the reply. Any gateway aggregates what is reported to
it. Nothing that needs agreement depends on this: it carries loads, demand, usage of
limits, usage counts, and the store revisions that each gateway knows.
"""

from collections import Counter
from datetime import timedelta
from math import exp
from random import Random

from logbook import Logger

from sassafrasdale.decisions.aggregators import (
    CONTACT_TIMEOUT,
    EXPIRY_TIMEOUT,
    max_watchers,
    report_interval,
    store_watchers,
)
from sassafrasdale.decisions.poll_slots import PollSlot, poll_slot_of
from sassafrasdale.gateway.aggregator import Aggregator
from sassafrasdale.gateway.dispatcher_messages import ASSIGNMENT_REQUEST, ATTEMPT_REPORT
from sassafrasdale.gateway.peer_calls import (
    ASSIGNMENT_TARGET,
    ATTEMPT_REPORT_TARGET,
    GROUP_UPDATE_TARGET,
    REPORT_TARGET,
    USAGE_TARGET,
    VALUES_TARGET,
    PeerCalls,
    PeerContext,
    assignment_response,
)
from sassafrasdale.gateway.peer_states import (
    GROUP_UPDATE,
    REPORT,
    Contact,
    MessageMalformed,
    ReceivedGroup,
    Redirect,
    StoreValues,
    UsageTotal,
    encode,
)
from sassafrasdale.gateway.reporter import Reporter
from sassafrasdale.gateway.streams.messages import (
    STREAM_QUERY,
    STREAM_QUERY_TARGET,
    STREAM_ROWS,
    STREAMS_TARGET,
)
from sassafrasdale.gateway.value_transfers import values_response
from sassafrasdale.green import sleep, spawn
from sassafrasdale.http.messages import Request, Response
from sassafrasdale.http.server import ServerConnection

log = Logger("peering")

# Aggregators that a gateway tries in one round.
MAX_ATTEMPTS = 3
# An aggregator that did not run for this long was paused, and its members have moved
# to another one.
PAUSE_THRESHOLD = CONTACT_TIMEOUT
# Total engine time per second below which the zones' parts are too uncertain, and equal
# shares are used.
MIN_KNOWN_WORK = 0.1
# Lower bound of a zone's share, as a fraction of an equal share: its load may have only
# just begun.
MIN_ZONE_PART = 0.5
# A change reaches all gateways in three steps: to the aggregator, from there to the
# other aggregators, and from those to their members.
PROPAGATION_STEPS = 3


class Peering:
    """Keeps the state of the other gateways, and reports this one's to them.

    :param context: this gateway's state and its listener.
    :param zones: number of availability zones.
    :param rng: source of randomness for report intervals.
    :param calls: client for the other gateways.
    """

    def __init__(
        self, context: PeerContext, zones: int, rng: Random, calls: PeerCalls
    ) -> None:
        self._context = context
        self._zones = zones
        self._rng = rng
        self._clock = context.clock
        self._roster = context.roster
        self._calls = calls
        self._aggregator = Aggregator(context, self._calls)
        self._reporter = Reporter(context, self._calls, self._set_groups)
        self._groups: tuple[ReceivedGroup, ...] = ()
        self._received_at = self._clock.elapsed()
        self._last_round_at = self._clock.elapsed()

    @property
    def has_peers(self) -> bool:
        """Whether any other gateway is known."""
        return len(self._roster) > 0

    def groups(self) -> list[ReceivedGroup]:
        """Return the totals over the other gateways, with their ages."""
        since = (self._clock.elapsed() - self._received_at).total_seconds()
        return [
            ReceivedGroup(group.state, group.age_s + since) for group in self._groups
        ]

    def unexpired_groups(self) -> list[ReceivedGroup]:
        """Return the groups that have not expired."""
        return [group for group in self.groups() if group.age <= EXPIRY_TIMEOUT]

    def knows_leader(self) -> bool:
        """Return whether a gateway in touch claims to be the leader.

        Only recent claims count: until a killed leader's claim is outdated, no gateway
        asks the store for the lease.
        """
        return any(
            group.state.leader is not None and group.age <= CONTACT_TIMEOUT
            for group in self.groups()
        )

    def may_have_older_gateway(self, incarnation: int) -> bool:
        """Return whether another gateway may have started before this one.

        A gateway that the store lists and that has not reported yet may be older.
        """
        groups = self.groups()
        if not groups:
            return len(self._roster) > 0
        return any(
            group.state.silent or 0 < group.state.oldest_incarnation < incarnation
            for group in groups
        )

    def engine_time(self, service: str) -> float:
        """Return the engine time per second that the others' requests take.

        The engine time of a silent group decays at the rate at which its callers show
        in the averages of the other gateways.
        """
        total = 0.0
        for group in self.groups():
            silence = max(group.age - CONTACT_TIMEOUT, timedelta())
            decay = exp(-(silence / self._context.work_window))
            total += group.state.engine_time.get(service, 0.0) * decay
        return total

    def work_share(self, service: str, own_work: float) -> float:
        """Return the fraction of a service's endpoints for the requests queued here.

        A zone gets its part of the engine time that all requests take. A gateway that
        isn't the aggregator of its zone, and queues its own requests meanwhile, gets an
        equal part of that.

        :param own_work: engine time per second that this gateway's requests take.
        """
        own_zone = self._roster.own.zone
        zone_work = total = own_work
        gateways = 1
        for group in self.unexpired_groups():
            work = group.state.engine_time.get(service, 0.0)
            total += work
            if group.state.aggregator.zone == own_zone:
                zone_work += work
                gateways += group.state.gateways
        equal = 1 / max(self._zones, 1)
        share = zone_work / total if total >= MIN_KNOWN_WORK else equal
        share = max(share, equal * MIN_ZONE_PART)
        return share if self.is_aggregator else share / gateways

    def zone_in_flight(self) -> dict[str, int]:
        """Return the requests in flight of this zone's other gateways, by endpoint."""
        in_flight: Counter[str] = Counter()
        for group in self.unexpired_groups():
            if group.state.aggregator.zone == self._roster.own.zone:
                for endpoint, load in group.state.loads.items():
                    in_flight[endpoint] += load.in_flight
        return in_flight

    def prefill_times(self, service: str) -> list[float]:
        """Return each group's mean prefill time per token, in seconds."""
        return [
            group.state.prefill_times[service]
            for group in self._groups
            if service in group.state.prefill_times
        ]

    def gateway_count(self) -> int:
        """Return the number of gateways, silent ones and this one included.

        A silent gateway may be partitioned and still use its share of the limits.
        """
        zones = {group.state.aggregator.zone for group in self._groups}
        unreported = sum(
            len(self._roster.in_zone(zone)) for zone in self._roster.zones() - zones
        )
        reported = sum(
            group.state.gateways + group.state.silent for group in self._groups
        )
        return 1 + reported + unreported

    def reaches_all_zones(self) -> bool:
        """Return whether unexpired totals of other gateways are known.

        An aggregator needs those of every zone.
        """
        groups = self.unexpired_groups()
        zones = {group.state.aggregator.zone for group in groups}
        if self.is_aggregator and len(zones) < self._zones:
            return False
        return any(group.state.gateways for group in groups)

    @property
    def is_aggregator(self) -> bool:
        """Whether this gateway is an aggregator, if only of itself."""
        return not self._reporter.aggregator

    def dispatcher(self) -> Contact | None:
        """Return the gateway that assigns endpoints for this one; None for itself."""
        return self._roster.get(self._reporter.aggregator)

    def dispatcher_cores(self) -> float:
        """Return the CPU cores of the gateway that assigns endpoints for this one."""
        return (self.dispatcher() or self._roster.own).cpu_cores

    def aggregators(self) -> list[Contact]:
        """Return the known aggregators of all zones, without this gateway."""
        found = {
            group.state.aggregator.name: group.state.aggregator
            for group in self.unexpired_groups()
        }
        dispatcher = self.dispatcher()
        if dispatcher is not None:
            found[dispatcher.name] = dispatcher
        found.pop(self._roster.own.name, None)
        return list(found.values())

    @property
    def interval(self) -> timedelta:
        """Interval between reports."""
        if self.is_aggregator:
            return self._aggregator.interval
        return self._reporter.interval or report_interval(1)

    def propagation_time(self) -> timedelta:
        """Return the time until a change here is known to all gateways."""
        return self.interval * PROPAGATION_STEPS

    def should_watch(self) -> bool:
        """Return whether this gateway has to watch the store itself.

        A few of each zone do. The others rely on their reports, as long as at least
        one gateway in touch gets responses from the store.
        """
        if self._roster.own.name in self._zone_watchers():
            return True
        return not any(
            group.state.follows_store and group.age <= CONTACT_TIMEOUT
            for group in self.groups()
        )

    def poll_slot(self) -> PollSlot | None:
        """Return this gateway's poll slot; None if other gateways poll the store.

        A gateway without contact to others polls in every slot. Gateways without a slot
        do not poll during an outage either: two hundred of them would overload the
        store just as it recovers.
        """
        in_touch = [group for group in self.groups() if group.age <= CONTACT_TIMEOUT]
        if not in_touch:
            return PollSlot(0, 1)
        own = self._roster.own
        zone_watchers = self._zone_watchers()
        if own.name not in zone_watchers:
            return None
        max_count = max_watchers(self._zones)
        counts = {
            group.state.aggregator.zone: min(group.state.gateways, max_count)
            for group in in_touch
            if group.state.follows_store
        }
        counts[own.zone] = len(zone_watchers)
        return poll_slot_of(own.zone, zone_watchers.index(own.name), counts)

    def _zone_watchers(self) -> list[str]:
        """Return the gateways of this zone that watch the store, in order."""
        own = self._roster.own
        cpu_cores = {
            contact.name: contact.cpu_cores
            for contact in self._roster.in_zone(own.zone)
            if not self._roster.is_avoided(contact.name)
        }
        cpu_cores[own.name] = own.cpu_cores
        return store_watchers(own.zone, cpu_cores, self._zones)

    def counted_usage(self, customer: str) -> float:
        """Return how much of this gateway's limit usage an aggregator has counted."""
        return self._reporter.counted_usage(customer)

    def usage(self, window: int) -> UsageTotal:
        """Return the known counts of a window for all gateways.

        Aggregators keep them; a member asks its own aggregator.
        """
        total = self._reporter.usage(window)
        return self._aggregator.usage(window) if total is None else total

    def add_listed(self, contact: Contact) -> None:
        """Add a gateway that the store lists."""
        if contact.name != self._roster.own.name and not self._roster.get(contact.name):
            self._roster.merge([contact])
            log.info("peer introduced", peer=contact.name, zone=contact.zone)

    def run(self) -> None:
        """Report until the task is killed."""
        while True:
            self.run_round()
            sleep(self.interval * self._rng.uniform(0.9, 1.1))

    def run_round(self) -> None:
        """Report to the aggregator, or act as the aggregator."""
        now = self._clock.elapsed()
        if now - self._last_round_at > PAUSE_THRESHOLD and self.is_aggregator:
            log.notice("group begun anew after a pause")
            self._aggregator.reset()
        self._last_round_at = now
        self._roster.remove_expired()
        self._aggregator.remove_expired()
        self._calls.close_unlisted()
        own = self._roster.own
        for _ in range(MAX_ATTEMPTS):
            candidate = self._roster.aggregator_candidate(own.zone)
            alone = candidate is None or candidate.name == own.name
            if alone or self._aggregator.has_members:
                self._aggregate()
                return
            if self.is_aggregator:
                self._aggregator.stop()
            self._context.gate.set_share(None)
            if self._reporter.report_to(candidate):
                return

    def leave(self) -> None:
        """Mark this gateway as shutting down, so that another one aggregates."""
        self._roster.leave()

    def report_now(self) -> None:
        """Report this gateway's state now, and wait until that is done."""
        aggregator = self._roster.get(self._reporter.aggregator)
        if aggregator is not None:
            self._reporter.report_to(aggregator)
            return
        self._add_own_state()
        for task in self._aggregator.exchange(include_recent=True):
            task.wait()

    def fetch_values(self, peer: str, prefix: str, since: int) -> StoreValues | None:
        """Return the changes below a prefix of the store, from another gateway."""
        contact = self._roster.get(peer)
        return (
            None
            if contact is None
            else self._calls.fetch_values(contact, prefix, since)
        )

    def handle(self, connection: ServerConnection, request: Request) -> None:
        """Respond to another gateway's request."""
        try:
            response = self._handle(request)
        except (MessageMalformed, ValueError) as error:
            log.warning("malformed message", target=request.target, why=str(error))
            response = Response(400)
        connection.answer(response.status, response.headers, response.body)

    def _handle(self, request: Request) -> Response:
        target = request.target
        if target == REPORT_TARGET:
            reply = self._aggregator.handle_report(REPORT.decode(request.body))
            return Response(200, body=encode(reply))
        if target == ASSIGNMENT_TARGET:
            call = ASSIGNMENT_REQUEST.decode(request.body)
            return assignment_response(self._context.listener.assign(call))
        if target == ATTEMPT_REPORT_TARGET:
            self._context.listener.receive_attempt_report(
                ATTEMPT_REPORT.decode(request.body)
            )
            return Response(200)
        if target == GROUP_UPDATE_TARGET:
            return self._handle_update(request)
        if target == STREAMS_TARGET:
            self._context.streams.receive_rows(STREAM_ROWS.decode(request.body))
            return Response(200)
        if target == STREAM_QUERY_TARGET:
            query = STREAM_QUERY.decode(request.body)
            return Response(200, body=encode(self._context.streams.answer(query)))
        if target.startswith(USAGE_TARGET):
            total = self._aggregator.usage(int(target.removeprefix(USAGE_TARGET)))
            return Response(200, body=encode(total))
        if target.startswith(VALUES_TARGET):
            since, _, prefix = target.removeprefix(VALUES_TARGET).partition("/")
            values = self._context.local_state.values_since(prefix, int(since))
            return values_response(request, values)
        return Response(404)

    def _handle_update(self, request: Request) -> Response:
        update = GROUP_UPDATE.decode(request.body)
        response = self._aggregator.handle_update(update, self._reporter.aggregator)
        return Response(
            409 if isinstance(response, Redirect) else 200, body=encode(response)
        )

    def _aggregate(self) -> None:
        if not self.is_aggregator:
            log.info("aggregating", before=self._reporter.stop())
            self._aggregator.start(self.groups())
        self._add_own_state()
        self._context.gate.set_share(self._aggregator.zone_share)
        self._aggregator.exchange()
        for contact in self._aggregator.uncontacted():
            spawn(self._reporter.send_roster, contact)
        self._set_groups(self._aggregator.groups_for(self._roster.own.name))

    def _add_own_state(self) -> None:
        state = self._context.local_state.build(self._roster.own)
        self._aggregator.add_own_state(state, self.gateway_count())
        self._reporter.mark_counted(state)

    def _set_groups(self, groups: tuple[ReceivedGroup, ...]) -> None:
        self._groups = groups
        self._received_at = self._clock.elapsed()
        self._context.listener.receive_groups(groups)
