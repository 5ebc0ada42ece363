"""Aggregation of members' reports, and exchange of totals between aggregators."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from logbook import Logger

from sassafrasdale.decisions.aggregators import (
    CONTACT_TIMEOUT,
    EXPIRY_TIMEOUT,
    report_interval,
)
from sassafrasdale.gateway.groups import Group
from sassafrasdale.gateway.peer_calls import GROUP_UPDATE_TARGET, PeerCalls, PeerContext
from sassafrasdale.gateway.peer_states import (
    GROUP_UPDATE,
    Contact,
    GroupState,
    GroupUpdate,
    MemberState,
    ReceivedGroup,
    Redirect,
    Report,
    ReportReply,
    UsageRow,
    UsageTotal,
)
from sassafrasdale.green import GreenThread, spawn

log = Logger("aggregating")

# Interval between attempts to contact a zone that has sent nothing.
SEARCH_INTERVAL = timedelta(milliseconds=500)
# Interval between transfers of usage counts between zones. They are due only seconds
# after the end of a window.
USAGE_INTERVAL = timedelta(seconds=1)
# Fraction of the interval after which an aggregator is due for an exchange. Exchanges
# go both ways, so it is enough that one side starts them.
RECENT_FRACTION = 0.7
# Clock readings in a reply: enough that two stepped clocks cannot move the median.
MAX_CLOCKS = 9
# Interval after which a listed gateway that has never reported is contacted again, and
# the number of such gateways contacted at once.
CONTACT_INTERVAL = timedelta(seconds=2)
MAX_CONTACTED_AT_ONCE = 8


@dataclass(slots=True)
class _PeerGroup:
    """The last update from another aggregator.

    :param members: names of its gateways, if they are in this zone.
    :param usage_acked: version of this gateway's ledger that it has acknowledged;
        None before the first acknowledgement.
    :param usage_sent_at: when rows were last sent to it.
    :param usage_received: version of its ledger that was received here.
    :param usage_complete_since: time up to which the rows that it sent are complete.
    :param missing_permits: what its zone lacks, by endpoint, until it has been given.
    """

    state: GroupState
    received_at: timedelta
    members: frozenset[str] = frozenset()
    usage_acked: int | None = None
    usage_sent_at: timedelta = -USAGE_INTERVAL
    usage_received: int = 0
    usage_complete_since: float = 0.0
    missing_permits: Mapping[str, int] = field(default_factory=dict)

    def pop_missing_permits(self) -> Mapping[str, int]:
        """Return and reset the permits that the zone lacks."""
        missing, self.missing_permits = self.missing_permits, {}
        return missing


class Aggregator:
    """Aggregates reports, and exchanges the totals with other aggregators.

    A gateway aggregates all reports that it gets, even if another one should be the
    zone's aggregator. Members therefore stay informed while gateways disagree on who
    that is.
    """

    def __init__(self, context: PeerContext, calls: PeerCalls) -> None:
        self._context = context
        self._calls = calls
        self._roster = context.roster
        self._clock = context.clock
        self._group = Group(context.work_window, context.clock)
        self._peer_groups: dict[str, _PeerGroup] = {}
        # Known aggregators, and when each was last confirmed to be one.
        self._aggregators: dict[str, timedelta] = {}
        self._exchanging: set[str] = set()
        self._last_search_at: dict[str, timedelta] = {}
        self._contacted_at: dict[str, timedelta] = {}
        self._gateway_count = 1

    @property
    def has_members(self) -> bool:
        """Whether another gateway reports here."""
        own = self._roster.own.name
        return any(name != own for name in self._group.members)

    @property
    def zone_share(self) -> float:
        """Fraction of the zone's gateways that report here."""
        listed = 1 + len(self._roster.in_zone(self._roster.own.zone))
        return min(len(self._group.in_touch) / listed, 1.0)

    @property
    def interval(self) -> timedelta:
        """Interval between a member's reports, and between exchanges."""
        return report_interval(len(self._group.members))

    def start(self, groups: list[ReceivedGroup]) -> None:
        """Start aggregating, with the other zones' totals last received as member."""
        now = self._clock.elapsed()
        for group in groups:
            aggregator = group.state.aggregator
            if aggregator.zone != self._roster.own.zone:
                peer_group = _PeerGroup(group.state, now - group.age)
                self._peer_groups.setdefault(aggregator.name, peer_group)

    def reset(self) -> None:
        """Remove all members, since they report to another gateway by now."""
        self._group.reset()

    def stop(self) -> None:
        """Discard all totals; another gateway is the aggregator from now on.

        That one counts this gateway's limit usage. Keeping the counters here would
        count it twice later.
        """
        self._group.reset()
        self._peer_groups.clear()

    def add_own_state(self, state: MemberState, gateway_count: int) -> None:
        """Record this gateway's own state.

        :param gateway_count: number of all gateways.
        """
        self._gateway_count = gateway_count
        self._group.record_report(state)
        own = self._roster.own
        for window, counts in self._context.local_state.usage().items():
            self._context.ledger.merge(own.name, own.incarnation, window, counts)

    def exchange(self, *, include_recent: bool = False) -> list[GreenThread]:
        """Start exchanges with the other aggregators.

        :param include_recent: whether to include those that sent an update recently.
        """
        return [
            spawn(self._exchange, contact)
            for contact in self._exchange_targets()
            if contact.name not in self._exchanging
            and (include_recent or self._is_due(contact.name))
        ]

    def uncontacted(self) -> list[Contact]:
        """Return listed gateways of the zone that neither report nor aggregate.

        A gateway that started first found no other in the store, and would otherwise
        aggregate only itself forever.
        """
        now = self._clock.elapsed()
        members = self._group.members
        due = [
            contact
            for contact in self._roster.in_zone(self._roster.own.zone)
            if contact.name not in members
            and contact.name not in self._aggregators
            and now - self._contacted_at.get(contact.name, -CONTACT_INTERVAL)
            >= CONTACT_INTERVAL
        ]
        for contact in due[:MAX_CONTACTED_AT_ONCE]:
            self._contacted_at[contact.name] = now
        return due[:MAX_CONTACTED_AT_ONCE]

    def handle_report(self, report: Report) -> ReportReply:
        """Record a member's report, and return the state of the other gateways."""
        state = report.state
        name = state.contact.name
        if report.leaves_group or state.contact.leaving:
            self._group.remove(name)
        else:
            self._group.record_report(state)
        self._roster.record_contact(state.contact)
        self._roster.merge(report.roster)
        strikes = self._context.strikes
        strikes.apply(name, state.contact.incarnation, report.strikes)
        self._context.gate.receive(report.endpoints)
        self._merge_usage(report.usage)
        listener = self._context.listener
        listener.receive_clock(name, state.time)
        listener.receive_revisions(name, state.revisions)
        listener.receive_open_attempts(state.contact, report.open_attempts)
        digest = self._roster.digest()
        known = digest == report.roster_digest
        return ReportReply(
            sender=self._roster.own,
            time=self._context.time.reading(),
            revisions=self._context.local_state.revisions(),
            groups=self.groups_for(name, concise=True),
            interval_s=self.interval.total_seconds(),
            roster_digest=digest,
            roster=() if known else tuple(self._roster.own_zone_contacts()),
            clocks=self._context.time.peer_readings(MAX_CLOCKS),
            strikes=strikes.update_for(name),
            endpoints=self._context.gate.report_for(state.contact),
            permits=self._context.gate.permits.lend(name, report.permit_requests),
            versions=self._context.local_state.versions(),
        )

    def handle_update(
        self, update: GroupUpdate, reports_to: str
    ) -> GroupUpdate | Redirect:
        """Apply another aggregator's update, and return this one's.

        :param reports_to: name of the aggregator that this gateway reports to; empty if
            there is none.
        """
        aggregator = self._roster.get(reports_to)
        if aggregator is not None and not self.has_members:
            return Redirect(aggregator)
        self._apply_update(update)
        return self._update_for(update.sender)

    def groups_for(
        self, name: str, *, concise: bool = False
    ) -> tuple[ReceivedGroup, ...]:
        """Return the totals over all gateways except one, this group first.

        :param concise: whether to omit the counts that only aggregators need.
        """
        now = self._clock.elapsed()
        own = ReceivedGroup(self._totals(without=name, concise=concise))
        others = [
            ReceivedGroup(other.state, (now - other.received_at).total_seconds())
            for other in self._peer_groups.values()
        ]
        if concise:
            others = [other.without_canary_counts() for other in others]
        return (own, *others)

    def usage(self, window: int) -> UsageTotal:
        """Return the known counts of a window for all gateways."""
        now = self._clock.elapsed()
        since = [self._group.complete_since or self._context.time.seconds]
        since += [
            other.usage_complete_since
            for other in self._peer_groups.values()
            if now - other.received_at <= EXPIRY_TIMEOUT
        ]
        return UsageTotal(self._context.ledger.total(window), min(since))

    def remove_expired(self) -> None:
        """Remove expired members, aggregators and groups."""
        now = self._clock.elapsed()
        self._roster.mark_alive(self._group.members)
        for replicator in (self._context.strikes, self._context.streams):
            replicator.forget(lambda name: self._roster.get(name) is None)
        zone = self._roster.own.zone
        self._group.remove_unlisted(
            {other.name for other in self._roster.in_zone(zone)}
        )
        for name, confirmed_at in list(self._aggregators.items()):
            if now - confirmed_at > EXPIRY_TIMEOUT:
                del self._aggregators[name]
        for name in list(self._peer_groups):
            if self._roster.get(name) is None:
                del self._peer_groups[name]

    def _totals(self, without: str = "", *, concise: bool = False) -> GroupState:
        own = self._roster.own
        return self._group.totals(
            own,
            without=without,
            listed=self._listed(),
            gateway_count=self._gateway_count,
            concise=concise,
        )

    def _listed(self) -> set[str]:
        """Return the listed gateways of the zone that belong to this group.

        Gateways that report to another aggregator of the zone are counted there. If
        this gateway is not the zone's first candidate, none belong to it.
        """
        own = self._roster.own
        candidate = self._roster.aggregator_candidate(own.zone)
        if candidate is None or candidate.name != own.name:
            return set()
        listed = {contact.name for contact in self._roster.in_zone(own.zone)}
        for other in self._peer_groups.values():
            listed -= other.members
        return listed

    def _exchange_targets(self) -> list[Contact]:
        """Return the aggregators to exchange updates with."""
        now = self._clock.elapsed()
        found = [
            contact
            for name, confirmed_at in self._aggregators.items()
            if now - confirmed_at <= EXPIRY_TIMEOUT
            and not self._roster.is_avoided(name)
            and (contact := self._roster.get(name)) is not None
        ]
        reached = {contact.zone for contact in found} | {self._roster.own.zone}
        for zone in self._roster.zones() - reached:
            if now - self._last_search_at.get(zone, -SEARCH_INTERVAL) < SEARCH_INTERVAL:
                continue
            self._last_search_at[zone] = now
            if (candidate := self._roster.aggregator_candidate(zone)) is not None:
                found.append(candidate)
        return found

    def _is_due(self, name: str) -> bool:
        other = self._peer_groups.get(name)
        if other is None:
            return True
        return (
            self._clock.elapsed() - other.received_at >= self.interval * RECENT_FRACTION
        )

    def _exchange(self, contact: Contact) -> None:
        self._exchanging.add(contact.name)
        try:
            update = self._update_for(contact)
            response = self._calls.send(
                contact, GROUP_UPDATE_TARGET, update, GROUP_UPDATE
            )
            match response:
                case GroupUpdate():
                    self._apply_update(response)
                case Redirect():
                    self._follow_redirect(contact, response.aggregator)
                case _:
                    self._aggregators.pop(contact.name, None)
        finally:
            self._exchanging.discard(contact.name)

    def _follow_redirect(self, redirecting: Contact, aggregator: Contact) -> None:
        """Replace a gateway by the aggregator that its redirect names."""
        self._aggregators.pop(redirecting.name, None)
        self._peer_groups.pop(redirecting.name, None)
        if aggregator.name != self._roster.own.name:
            self._roster.merge([aggregator])
            self._aggregators[aggregator.name] = self._clock.elapsed()

    def _update_for(self, receiver: Contact) -> GroupUpdate:
        totals = self._totals()
        other = self._peer_groups.get(receiver.name)
        rows = self._usage_rows_for(other)
        same_zone = receiver.zone == self._roster.own.zone
        permits = self._context.gate.permits
        lacking = {} if other is None or same_zone else other.pop_missing_permits()
        return GroupUpdate(
            sender=self._roster.own,
            time=self._context.time.reading(),
            revisions=self._context.local_state.revisions(),
            group=totals,
            aggregators=tuple(self._other_aggregators(receiver.name)),
            usage=rows or (),
            usage_complete_since=None if rows is None else totals.complete_since,
            usage_version=self._context.ledger.version,
            usage_received=0 if other is None else other.usage_received,
            members=tuple(self._group.in_touch) if same_zone else (),
            strikes=self._context.strikes.update_for(receiver.name),
            endpoints=self._context.gate.report_for(receiver),
            streams=self._context.streams.update_for(receiver.name),
            versions=self._context.local_state.versions(),
            missing_permits={} if same_zone else permits.missing(),
            given_permits=permits.give(lacking),
        )

    def _usage_rows_for(self, other: _PeerGroup | None) -> tuple[UsageRow, ...] | None:
        """Return the usage rows that an aggregator lacks; None if none are due.

        The first transfer carries all known rows, since no other gateway may have the
        counts of gateways that died. Later ones carry this zone's rows, as other zones
        send their own. Rows are resent until acknowledged, since a response may come
        too late.
        """
        if other is None:
            return tuple(UsageRow(*row) for row in self._context.ledger.rows(0))
        now = self._clock.elapsed()
        if now - other.usage_sent_at < USAGE_INTERVAL:
            return None
        other.usage_sent_at = now
        if other.usage_acked is None:
            rows = self._context.ledger.rows(0)
        else:
            names = {contact.name for contact in self._roster.own_zone_contacts()}
            rows = self._context.ledger.rows(other.usage_acked, names)
        return tuple(UsageRow(*row) for row in rows)

    def _other_aggregators(self, receiver: str) -> list[Contact]:
        now = self._clock.elapsed()
        return [
            other.state.aggregator
            for name, other in self._peer_groups.items()
            if name != receiver and now - other.received_at <= CONTACT_TIMEOUT
        ]

    def _apply_update(self, update: GroupUpdate) -> None:
        now = self._clock.elapsed()
        sender = update.sender
        self._roster.record_contact(sender)
        self._aggregators[sender.name] = now
        self._remove_former(sender)
        other = self._peer_groups.get(sender.name)
        if other is None or other.state.aggregator.incarnation != sender.incarnation:
            other = self._peer_groups[sender.name] = _PeerGroup(update.group, now)
        other.state = update.group
        other.received_at = now
        other.members = frozenset(update.members)
        # Members that are silent here have moved to that aggregator.
        for member in other.members - self._group.in_touch:
            self._group.remove(member)
        for contact in update.aggregators:
            if contact.name != self._roster.own.name:
                self._roster.merge([contact])
                self._aggregators.setdefault(contact.name, now)
        self._context.strikes.apply(sender.name, sender.incarnation, update.strikes)
        self._context.streams.apply(sender.name, sender.incarnation, update.streams)
        self._context.gate.receive(update.endpoints)
        other.missing_permits = update.missing_permits
        self._context.gate.permits.accept(update.given_permits)
        self._merge_usage(update.usage)
        if update.usage_complete_since is not None:
            other.usage_complete_since = update.usage_complete_since
            other.usage_received = update.usage_version
        if update.usage_received:
            other.usage_acked = update.usage_received
        listener = self._context.listener
        listener.receive_versions(update.versions)
        listener.receive_clock(sender.name, update.time)
        listener.receive_revisions(sender.name, update.revisions)

    def _merge_usage(self, rows: tuple[UsageRow, ...]) -> None:
        for row in rows:
            self._context.ledger.merge(
                row.gateway, row.incarnation, row.window, row.counts
            )

    def _remove_former(self, sender: Contact) -> None:
        """Remove a zone's former aggregator once another one sends its totals."""
        now = self._clock.elapsed()
        for name, other in list(self._peer_groups.items()):
            former = other.state.aggregator
            if former.zone != sender.zone or name == sender.name:
                continue
            if (
                self._roster.is_avoided(name)
                or now - other.received_at > CONTACT_TIMEOUT
            ):
                del self._peer_groups[name]
