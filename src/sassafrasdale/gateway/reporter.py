"""Reports of a member to the aggregator of its zone."""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.gateway.peer_calls import REPORT_TARGET, PeerCalls, PeerContext
from sassafrasdale.gateway.peer_states import (
    REPORT_REPLY,
    Contact,
    MemberState,
    ReceivedGroup,
    Report,
    ReportReply,
    UsageRow,
    UsageTotal,
)
from sassafrasdale.green import spawn

log = Logger("reporting")


class Reporter:
    """Reports this gateway's state, and applies the replies.

    :param set_groups: called with the totals over all other gateways.
    """

    def __init__(
        self,
        context: PeerContext,
        calls: PeerCalls,
        set_groups: Callable[[tuple[ReceivedGroup, ...]], None],
    ) -> None:
        self._context = context
        self._calls = calls
        self._roster = context.roster
        self._set_groups = set_groups
        self._aggregator = ""
        self._aggregator_incarnation = 0
        self._aggregator_digest = 0
        self._reported_rows: dict[int, dict[str, int]] = {}
        self._counted_usage: dict[str, float] = {}
        self._interval: timedelta | None = None

    @property
    def aggregator(self) -> str:
        """Name of the gateway that this one reports to; empty for none."""
        return self._aggregator

    @property
    def interval(self) -> timedelta | None:
        """Time until the next report, as set by the aggregator."""
        return self._interval

    def stop(self) -> str:
        """Stop reporting, and return the name of the former aggregator."""
        former, self._aggregator = self._aggregator, ""
        return former

    def counted_usage(self, customer: str) -> float:
        """Return how much of this gateway's limit usage an aggregator has counted."""
        return self._counted_usage.get(customer, 0.0)

    def mark_counted(self, state: MemberState) -> None:
        """Record that a state was counted, by this or another aggregator."""
        for customer, usage in state.limit_usage.items():
            self._counted_usage[customer] = usage.admitted

    def report_to(self, contact: Contact) -> bool:
        """Report to an aggregator, and return whether it replied."""
        if contact.name != self._aggregator:
            self._switch_to(contact)
        state = self._own_state()
        rows = self._changed_rows()
        digest = self._roster.digest()
        known = digest == self._aggregator_digest
        report = Report(
            state,
            digest,
            () if known else tuple(self._roster.own_zone_contacts()),
            tuple(self._usage_row(window, counts) for window, counts in rows.items()),
            self._context.local_state.open_attempts(),
            strikes=self._context.strikes.update_for(contact.name),
            endpoints=self._context.gate.report_for(contact),
            permit_requests=self._context.gate.permits.build_requests(),
        )
        reply = self._calls.send(contact, REPORT_TARGET, report, REPORT_REPLY)
        if not isinstance(reply, ReportReply):
            return False
        self._reported_rows |= rows
        self.mark_counted(state)
        self._apply_reply(reply)
        return True

    def send_roster(self, contact: Contact) -> None:
        """Send the zone's known gateways to another, without becoming its member."""
        digest = self._roster.digest()
        known = tuple(self._roster.own_zone_contacts())
        report = Report(self._own_state(), digest, known, leaves_group=True)
        reply = self._calls.send(contact, REPORT_TARGET, report, REPORT_REPLY)
        if isinstance(reply, ReportReply):
            self._roster.record_contact(reply.sender)
            self._roster.merge(reply.roster)

    def usage(self, window: int) -> UsageTotal | None:
        """Return the aggregator's counts of a window; None if the call failed."""
        contact = self._roster.get(self._aggregator)
        return None if contact is None else self._calls.fetch_usage(contact, window)

    def _switch_to(self, contact: Contact) -> None:
        former = self._roster.get(self._aggregator)
        log.info("aggregator chosen", peer=contact.name, before=self._aggregator)
        self._aggregator = contact.name
        self._reported_rows = {}
        self._aggregator_digest = 0
        # A former aggregator that still runs would count this gateway as silent.
        if former is not None and not self._roster.is_avoided(former.name):
            spawn(self.send_roster, former)

    def _apply_reply(self, reply: ReportReply) -> None:
        listener = self._context.listener
        sender = reply.sender
        self._roster.record_contact(sender)
        self._context.strikes.apply(sender.name, sender.incarnation, reply.strikes)
        self._aggregator_digest = reply.roster_digest
        if reply.sender.incarnation != self._aggregator_incarnation:
            # An aggregator that restarted since the last report has no rows.
            self._aggregator_incarnation = reply.sender.incarnation
            self._reported_rows = {}
        self._roster.merge(reply.roster)
        self._roster.merge(group.state.aggregator for group in reply.groups)
        self._roster.mark_alive(
            contact.name for contact in self._roster.own_zone_contacts()
        )
        self._interval = timedelta(seconds=reply.interval_s)
        listener.receive_versions(reply.versions)
        listener.receive_clock(reply.sender.name, reply.time)
        for name, reading in reply.clocks.items():
            if name != self._roster.own.name:
                listener.receive_clock(name, reading)
        listener.receive_revisions(reply.sender.name, reply.revisions)
        self._context.gate.receive(reply.endpoints)
        self._context.gate.permits.receive(reply.permits)
        self._set_groups(reply.groups)

    def _changed_rows(self) -> dict[int, dict[str, int]]:
        return {
            window: counts
            for window, counts in self._context.local_state.usage().items()
            if self._reported_rows.get(window) != counts
        }

    def _usage_row(self, window: int, counts: dict[str, int]) -> UsageRow:
        own = self._roster.own
        return UsageRow(own.name, own.incarnation, window, counts)

    def _own_state(self) -> MemberState:
        return self._context.local_state.build(self._roster.own)
