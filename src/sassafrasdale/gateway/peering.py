"""Reports of gateways to the aggregator of their zone, and news between aggregators.

Each gateway reports its state to one of its zone a few times a second, and gets the
sums over all others back. Any gateway sums up what is reported to it. Nothing agreed
rests on this: it carries loads, demand, spending, counts of usage, and how far each has
followed the store.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from math import exp
from random import Random
from typing import Protocol

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.aggregators import pause_for, watches_store
from sassafrasdale.gateway.dependencies import Dependency
from sassafrasdale.gateway.groups import FRESH, LIFETIME, Group
from sassafrasdale.gateway.peer_states import (
    GROUP_NEWS,
    REDIRECT,
    REPORT,
    STORE_VALUES,
    USAGE_TOTAL,
    VIEW,
    Contact,
    GroupNews,
    GroupState,
    HeardGroup,
    MemberState,
    MessageMalformed,
    Redirect,
    Report,
    StoreValues,
    UsageRow,
    UsageTotal,
    View,
    encode,
)
from sassafrasdale.gateway.roster import Roster
from sassafrasdale.gateway.usage import ClockReading, TrueTime, UsageLedger
from sassafrasdale.green import sleep, spawn
from sassafrasdale.http.connections import HttpClient
from sassafrasdale.http.exceptions import HttpError
from sassafrasdale.http.messages import Answer, Request
from sassafrasdale.http.server import ServerConnection

log = Logger("peering")

# A report takes a few milliseconds. Instances with half a core may be held up for as
# much again; a longer wait would let the news of a whole zone grow old.
ANSWER_LIMIT = timedelta(milliseconds=500)
# Aggregators that a gateway tries in one round.
MOST_TRIES = 3
# Pause between two tries to reach a zone of which nothing is heard.
SEARCH_PAUSE = timedelta(milliseconds=500)
# Pause between two transfers of usage between zones. It is due seconds after a window.
USAGE_PAUSE = timedelta(seconds=1)
# Clocks of others that a view passes on: enough for a median that no two steps move.
MOST_CLOCKS = 9
# Gateways that were listed and never heard are asked again after this time.
GREET_PAUSE = timedelta(seconds=2)
GREETED_AT_ONCE = 8
# A process that has not run for so long was paused; its members report elsewhere.
PAUSED = FRESH
_REPORT = "/report"
_NEWS = "/news"
_USAGE = "/usage/"
_VALUES = "/values/"


class Listener(Protocol):
    """What is made of what the others tell."""

    def hear_groups(self, groups: tuple[HeardGroup, ...]) -> None:
        """Take the sums over all other gateways."""

    def hear_clock(self, name: str, reading: ClockReading) -> None:
        """Take another gateway's clock as it shows now."""

    def hear_revisions(self, peer: str, revisions: dict[str, int]) -> None:
        """Take how far a gateway, that answers here, has followed the store."""


@dataclass(slots=True)
class _Group:
    """Another aggregator's group as it was last heard.

    :param usage_version: version of this gateway's ledger that it has.
    :param usage_since: when the rows that it sent were complete.
    """

    state: GroupState
    heard_at: timedelta
    members: frozenset[str] = frozenset()
    usage_version: int = 0
    usage_sent_at: timedelta | None = None
    usage_since: float = 0.0


class Peering:
    """Tells the other gateways of this one, and keeps what they tell.

    :param zones: number of availability zones.
    :param make_state: returns this gateway's present state, under its contact.
    :param revisions: how far this gateway has followed each prefix of the store.
    :param listener: told of all that is heard.
    :param values_since: raw values of a prefix that have changed since a revision.
    :param ledger: counts of usage of all gateways.
    :param usage: this gateway's own counts, by window.
    :param time: true time, for what others ask.
    :param work_window: time over which each gateway averages its work.
    """

    def __init__(
        self,
        zones: int,
        make_state: Callable[[Contact], MemberState],
        revisions: Callable[[], dict[str, int]],
        listener: Listener,
        values_since: Callable[[str, int], StoreValues | None],
        ledger: UsageLedger,
        usage: Callable[[], dict[int, dict[str, int]]],
        time: TrueTime,
        work_window: timedelta,
        clock: Clock,
        rng: Random,
        own: Contact,
    ) -> None:
        self._zones = zones
        self._make_state = lambda: make_state(self._own)
        self._revisions = revisions
        self._listener = listener
        self._values_since = values_since
        self._ledger = ledger
        self._usage = usage
        self._time = time
        self._work_window = work_window
        self._clock = clock
        self._rng = rng
        self._own = own
        self._roster = Roster(lambda: self._own, clock)
        self._group = Group(work_window, clock)
        self._groups: dict[str, _Group] = {}
        self._aggregators: dict[str, timedelta] = {}
        self._view: tuple[tuple[HeardGroup, ...], timedelta] = ((), timedelta())
        self._clients: dict[str, HttpClient] = {}
        self._reports_to = ""
        self._told_rows: dict[int, dict[str, int]] = {}
        self._their_digest = 0
        self._told_spent: dict[str, float] = {}
        self._under_way: set[str] = set()
        self._searched_at: dict[str, timedelta] = {}
        self._greeted_at: dict[str, timedelta] = {}
        self._pause = pause_for(1)
        self._round_at = clock.elapsed()
        self._dependency = Dependency("peers", clock)

    # What the others told.

    def groups(self) -> list[HeardGroup]:
        """Return the sums over the other gateways, and how old they are."""
        groups, heard_at = self._view
        since = (self._clock.elapsed() - heard_at).total_seconds()
        return [HeardGroup(heard.state, heard.age_s + since) for heard in groups]

    def in_touch(self) -> list[HeardGroup]:
        """Return those of the groups that are not held to be gone."""
        return [heard for heard in self.groups() if heard.age <= LIFETIME]

    def names_holder(self) -> bool:
        """Return whether a gateway in touch says that it has the duties.

        Only word from just now counts: a holder that was killed is believed to have
        them until then, and nobody asks the store for the lease.
        """
        return any(
            heard.state.holder is not None and heard.age <= FRESH
            for heard in self.groups()
        )

    def may_have_older(self, incarnation: int) -> bool:
        """Return whether a gateway started earlier, or none is known to have yet.

        One that the store lists and that was never heard may be an older one.
        """
        groups = self.groups()
        if not groups:
            return len(self._roster) > 0
        return any(
            heard.state.silent or 0 < heard.state.oldest < incarnation
            for heard in groups
        )

    def work(self, service: str) -> float:
        """Return the engine time a second that the others' requests take.

        That of a group which fell silent fades in as much time as it takes to show at
        the others, where its callers go.
        """
        total = 0.0
        for heard in self.groups():
            silence = max(heard.age - FRESH, timedelta())
            part = exp(-(silence / self._work_window))
            total += heard.state.work.get(service, 0.0) * part
        return total

    def hears_all(self) -> bool:
        """Return whether others are heard, and an aggregator hears all zones."""
        heard = {group.state.aggregator.zone for group in self.in_touch()}
        if not self._reports_to and len(heard) < self._zones:
            return False
        return any(group.state.gateways for group in self.in_touch())

    def unseen_time(self) -> timedelta:
        """Return the time that what happens here takes to be known everywhere.

        It goes to the aggregator, to another one, and from there to its members.
        """
        return self._pause * 3

    def count(self) -> int:
        """Return how many gateways there are, silent ones and this one included.

        A gateway that is silent may be cut off, and spend its part of what is shared.
        """
        groups = self.groups()
        heard = {group.state.aggregator.zone for group in groups}
        unheard = sum(
            len(self._roster.of_zone(zone)) for zone in self._roster.zones() - heard
        )
        told = sum(group.state.gateways + group.state.silent for group in groups)
        return 1 + told + unheard

    @property
    def is_aggregator(self) -> bool:
        """Whether this gateway sums up others' reports, or would if there were any."""
        return not self._reports_to

    def should_watch(self) -> bool:
        """Return whether this gateway has to follow the store by itself.

        A few of each zone do. The others go by what these tell, as long as they hear
        of one that the store answers.
        """
        own = self._own
        names = {contact.name for contact in self._roster.of_zone(own.zone)}
        names = {name for name in names if not self._roster.is_passed_over(name)}
        if watches_store(own.name, own.zone, names | {own.name}, self._zones):
            return True
        return not any(
            heard.state.follows_store and heard.age <= FRESH for heard in self.groups()
        )

    def usage(self, window: int) -> UsageTotal:
        """Return all gateways' counts of a window, as far as they are known.

        They are kept by the aggregators; a gateway that is none asks its own.
        """
        if self._reports_to:
            total = self._ask_usage(window)
            if total is not None:
                return total
        self._count_own_usage()
        return UsageTotal(self._ledger.total(window), self._usage_told_since())

    # What is told to the others.

    def introduce(self, contact: Contact) -> None:
        """Take a gateway that the store lists."""
        if contact.name != self._own.name and self._roster.get(contact.name) is None:
            self._roster.merge([contact])
            log.info("peer introduced", peer=contact.name, zone=contact.zone)

    def leave(self) -> None:
        """Tell the others that this gateway stops."""
        self._own = Contact(
            self._own.name,
            self._own.zone,
            self._own.host,
            self._own.port,
            self._own.incarnation,
            leaving=True,
        )

    def run(self) -> None:
        """Report until the task is killed."""
        while True:
            self.round()
            sleep(self._pause * self._rng.uniform(0.9, 1.1))

    def round(self) -> None:
        """Report to the aggregator, or do its work."""
        now = self._clock.elapsed()
        if now - self._round_at > PAUSED and not self._reports_to:
            log.notice("group begun anew after a pause")
            self._group.begin_anew()
        self._round_at = now
        self._forget_old(now)
        for _ in range(MOST_TRIES):
            first = self._roster.candidate(self._own.zone)
            alone = first is None or first.name == self._own.name
            if alone or self._has_members():
                self._aggregate()
                return
            if self._report_to(first):
                return
        self._listener.hear_groups(tuple(self.groups()))

    def tell_all(self) -> None:
        """Tell this gateway's state now, and wait until it is told."""
        self._roster.forget_old()
        if self._reports_to and (contact := self._roster.get(self._reports_to)):
            self._report_to(contact)
            return
        self._take_own()
        tasks = [spawn(self._exchange, contact) for contact in self._targets()]
        for task in tasks:
            task.wait()

    def fetch(self, peer: str, prefix: str, since: int) -> StoreValues | None:
        """Return what has changed below a prefix of the store, from a gateway."""
        contact = self._roster.get(peer)
        if contact is None:
            return None
        target = f"{_VALUES}{since}/{prefix}"
        try:
            answer = self._client(contact).call(Request("GET", target), ANSWER_LIMIT)
            if answer.status != 200:
                return None
            return STORE_VALUES.decode(answer.body)
        except (HttpError, MessageMalformed) as error:
            log.info("peer gave no values", peer=peer, why=str(error))
            return None

    def answer(self, connection: ServerConnection, request: Request) -> None:
        """Answer another gateway."""
        try:
            answer = self._answer(request)
        except (MessageMalformed, ValueError) as error:
            log.warning("message malformed", target=request.target, why=str(error))
            answer = Answer(400)
        connection.answer(answer.status, answer.headers, answer.body)

    def _answer(self, request: Request) -> Answer:
        target = request.target
        if target == _REPORT:
            return self._answer_report(REPORT.decode(request.body))
        if target == _NEWS:
            return self._answer_news(GROUP_NEWS.decode(request.body))
        if target.startswith(_USAGE):
            window = int(target.removeprefix(_USAGE))
            return Answer(200, body=encode(self.usage(window)))
        if target.startswith(_VALUES):
            since, _, prefix = target.removeprefix(_VALUES).partition("/")
            values = self._values_since(prefix, int(since))
            return Answer(404) if values is None else Answer(200, body=encode(values))
        return Answer(404)

    # A member's side.

    def _report_to(self, contact: Contact) -> bool:
        """Report to an aggregator, and return whether it answered."""
        if contact.name != self._reports_to:
            self._move_to(contact)
        state = self._make_state()
        rows = self._changed_rows()
        digest = self._roster.digest()
        report = Report(
            state,
            digest,
            () if digest == self._their_digest else tuple(self._roster.own_zone()),
            tuple(self._usage_row(window, counts) for window, counts in rows.items()),
        )
        view = self._call(contact, _REPORT, report, VIEW)
        if view is None:
            return False
        self._told_rows |= rows
        self._note_told(state)
        self._take_view(view)
        return True

    def _move_to(self, contact: Contact) -> None:
        former = self._roster.get(self._reports_to)
        log.info("aggregator chosen", peer=contact.name, before=self._reports_to)
        self._reports_to = contact.name
        self._told_rows = {}
        self._their_digest = 0
        if former is not None and not self._roster.is_passed_over(former.name):
            spawn(self._depart, former)

    def _depart(self, contact: Contact) -> None:
        """Tell a former aggregator, which would count this gateway as silent."""
        digest = self._roster.digest()
        report = Report(self._make_state(), digest, departs=True)
        self._call(contact, _REPORT, report, VIEW)

    def _take_view(self, view: View) -> None:
        self._roster.heard(view.sender)
        self._their_digest = view.roster_digest
        if view.roster:
            self._roster.merge(view.roster)
        self._roster.keep(contact.name for contact in self._roster.own_zone())
        self._pause = timedelta(seconds=view.pause_s)
        self._listener.hear_clock(view.sender.name, view.time)
        for name, reading in view.clocks.items():
            if name != self._own.name:
                self._listener.hear_clock(name, reading)
        self._listener.hear_revisions(view.sender.name, view.revisions)
        for heard in view.groups:
            self._roster.merge([heard.state.aggregator])
        self._set_view(view.groups)

    def _set_view(self, groups: tuple[HeardGroup, ...]) -> None:
        self._view = (groups, self._clock.elapsed())
        self._listener.hear_groups(groups)

    def _changed_rows(self) -> dict[int, dict[str, int]]:
        return {
            window: counts
            for window, counts in self._usage().items()
            if self._told_rows.get(window) != counts
        }

    def _usage_row(self, window: int, counts: dict[str, int]) -> UsageRow:
        return UsageRow(self._own.name, self._own.incarnation, window, counts)

    def _note_told(self, state: MemberState) -> None:
        for customer, spending in state.spending.items():
            self._told_spent[customer] = spending.spent

    def told_spent(self, customer: str) -> float:
        """Return how much of this gateway's spending an aggregator has counted."""
        return self._told_spent.get(customer, 0.0)

    def _ask_usage(self, window: int) -> UsageTotal | None:
        contact = self._roster.get(self._reports_to)
        if contact is None:
            return None
        try:
            request = Request("GET", f"{_USAGE}{window}")
            answer = self._client(contact).call(request, ANSWER_LIMIT)
            return USAGE_TOTAL.decode(answer.body) if answer.status == 200 else None
        except (HttpError, MessageMalformed) as error:
            log.info("peer gave no usage", peer=contact.name, why=str(error))
            return None

    # An aggregator's side.

    def _has_members(self) -> bool:
        return any(name != self._own.name for name in self._group.members)

    def _aggregate(self) -> None:
        if self._reports_to:
            log.info("aggregating", before=self._reports_to)
            self._take_up()
        self._take_own()
        self._count_own_usage()
        self._greet()
        for contact in self._targets():
            if self._is_due(contact.name) and contact.name not in self._under_way:
                spawn(self._exchange, contact)
        self._pause = pause_for(len(self._group.members))
        self._set_view(self._view_for(self._own.name))

    def _take_up(self) -> None:
        """Begin to sum up, with what was last heard as a member."""
        now = self._clock.elapsed()
        former, self._reports_to = self._reports_to, ""
        for heard in self.groups():
            aggregator = heard.state.aggregator
            if aggregator.zone != self._own.zone and aggregator.name != former:
                at = now - heard.age
                self._groups.setdefault(aggregator.name, _Group(heard.state, at))

    def _take_own(self) -> None:
        state = self._make_state()
        self._group.take(state)
        self._note_told(state)

    def _count_own_usage(self) -> None:
        own = self._own
        for window, counts in self._usage().items():
            self._ledger.take(own.name, own.incarnation, window, counts)

    def _answer_report(self, report: Report) -> Answer:
        state = report.state
        name = state.contact.name
        if report.departs or state.contact.leaving:
            self._group.drop(name)
        else:
            self._group.take(state)
        self._roster.heard(state.contact)
        self._roster.merge(report.roster)
        for row in report.usage:
            self._ledger.take(row.gateway, row.incarnation, row.window, row.counts)
        self._listener.hear_clock(name, state.time)
        self._listener.hear_revisions(name, state.revisions)
        return Answer(200, body=encode(self._view_message(name, report.roster_digest)))

    def _view_message(self, name: str, digest: int) -> View:
        known = self._roster.digest()
        return View(
            sender=self._own,
            time=self._time.reading(),
            revisions=self._revisions(),
            groups=self._view_for(name),
            pause_s=pause_for(len(self._group.members)).total_seconds(),
            roster_digest=known,
            roster=() if known == digest else tuple(self._roster.own_zone()),
            clocks=self._time.others(MOST_CLOCKS),
        )

    def _view_for(self, name: str) -> tuple[HeardGroup, ...]:
        now = self._clock.elapsed()
        own = HeardGroup(self._sums(without=name))
        return (
            own,
            *(
                HeardGroup(group.state, (now - group.heard_at).total_seconds())
                for group in self._groups.values()
            ),
        )

    def _sums(self, without: str = "") -> GroupState:
        return self._group.sums(
            self._own, without=without, listed=self._listed(), fleet=self.count()
        )

    def _listed(self) -> set[str]:
        """Return the gateways of the zone that belong to this group.

        Those that report to another aggregator of the zone are counted there. Where
        this gateway is not the one that should be it, the others are, too.
        """
        first = self._roster.candidate(self._own.zone)
        if first is None or first.name != self._own.name:
            return set()
        listed = {contact.name for contact in self._roster.of_zone(self._own.zone)}
        for group in self._groups.values():
            listed -= group.members
        return listed

    def _targets(self) -> list[Contact]:
        """Return the aggregators to exchange news with."""
        now = self._clock.elapsed()
        names = {
            name
            for name, seen_at in self._aggregators.items()
            if now - seen_at <= LIFETIME and not self._roster.is_passed_over(name)
        }
        reached = {
            contact.zone for name in names if (contact := self._roster.get(name))
        }
        for zone in self._roster.zones() - reached - {self._own.zone}:
            if now - self._searched_at.get(zone, -SEARCH_PAUSE) < SEARCH_PAUSE:
                continue
            self._searched_at[zone] = now
            if first := self._roster.candidate(zone):
                names.add(first.name)
        found = [self._roster.get(name) for name in sorted(names)]
        return [contact for contact in found if contact is not None]

    def _is_due(self, name: str) -> bool:
        """Return whether an aggregator is to be told: news goes both ways at once."""
        group = self._groups.get(name)
        if group is None:
            return True
        return self._clock.elapsed() - group.heard_at >= self._pause * 0.7

    def _exchange(self, contact: Contact) -> None:
        """Exchange news with another aggregator."""
        self._under_way.add(contact.name)
        try:
            version = self._ledger.version
            news = self._news(contact)
            answer = self._call(contact, _NEWS, news, GROUP_NEWS)
            if answer is not None:
                self._take_news(answer)
                self._note_sent(contact.name, news, version)
        finally:
            self._under_way.discard(contact.name)

    def _answer_news(self, news: GroupNews) -> Answer:
        if self._reports_to and not self._has_members():
            aggregator = self._roster.get(self._reports_to)
            if aggregator is not None and aggregator.name != news.sender.name:
                return Answer(409, body=encode(Redirect(aggregator)))
        version = self._ledger.version
        self._take_news(news)
        answer = self._news(news.sender)
        self._note_sent(news.sender.name, answer, version)
        return Answer(200, body=encode(answer))

    def _news(self, receiver: Contact) -> GroupNews:
        now = self._clock.elapsed()
        group = self._groups.get(receiver.name)
        rows: list[UsageRow] = []
        since = None
        sent_at = None if group is None else group.usage_sent_at
        if sent_at is None or now - sent_at >= USAGE_PAUSE:
            version = 0 if group is None else group.usage_version
            # Afterwards each zone tells its own: the rest has come by another way.
            gateways = None if sent_at is None else set(self._zone_names())
            rows = [UsageRow(*row) for row in self._ledger.rows(version, gateways)]
            since = self._sums().told_since
        same_zone = receiver.zone == self._own.zone
        return GroupNews(
            sender=self._own,
            time=self._time.reading(),
            revisions=self._revisions(),
            group=self._sums(),
            aggregators=tuple(self._known_aggregators(receiver.name)),
            usage=tuple(rows),
            usage_since=since,
            members=tuple(self._group.members) if same_zone else (),
        )

    def _zone_names(self) -> list[str]:
        return [contact.name for contact in self._roster.own_zone()]

    def _known_aggregators(self, receiver: str) -> list[Contact]:
        now = self._clock.elapsed()
        return [
            group.state.aggregator
            for name, group in self._groups.items()
            if name != receiver and now - group.heard_at <= FRESH
        ]

    def _take_news(self, news: GroupNews) -> None:
        now = self._clock.elapsed()
        name = news.sender.name
        self._roster.heard(news.sender)
        self._aggregators[name] = now
        self._drop_former(news.sender)
        group = self._groups.get(name)
        restarted = group is None or (
            group.state.aggregator.incarnation != news.sender.incarnation
        )
        if restarted:
            group = self._groups[name] = _Group(news.group, now)
        group.state = news.group
        group.heard_at = now
        group.members = frozenset(news.members)
        for member in news.members:
            if member != self._own.name and name != member:
                self._group.drop(member)
        for contact in news.aggregators:
            if contact.name != self._own.name:
                self._roster.merge([contact])
                self._aggregators.setdefault(contact.name, now)
        for row in news.usage:
            self._ledger.take(row.gateway, row.incarnation, row.window, row.counts)
        if news.usage_since is not None:
            group.usage_since = news.usage_since
        self._listener.hear_clock(name, news.time)
        self._listener.hear_revisions(name, news.revisions)

    def _drop_former(self, sender: Contact) -> None:
        """Forget a zone's former aggregator once another one tells its sums."""
        now = self._clock.elapsed()
        for name, group in list(self._groups.items()):
            former = group.state.aggregator
            if (
                former.zone == sender.zone
                and name != sender.name
                and now - group.heard_at > FRESH
            ):
                del self._groups[name]

    def _note_sent(self, name: str, news: GroupNews, version: int) -> None:
        group = self._groups.get(name)
        if group is not None and news.usage_since is not None:
            group.usage_version = version
            group.usage_sent_at = self._clock.elapsed()

    def _usage_told_since(self) -> float:
        """Return since when all gateways in touch have told their usage."""
        own = self._group.sums(self._own).told_since or self._time.seconds
        times = [own]
        now = self._clock.elapsed()
        for group in self._groups.values():
            if now - group.heard_at <= LIFETIME:
                times.append(group.usage_since)
        return min(times)

    def _greet(self) -> None:
        """Ask the zone's gateways that were listed and don't report here.

        One that started first has seen no other in the store, and would sum up itself
        alone for good.
        """
        now = self._clock.elapsed()
        members = set(self._group.members)
        greeted = 0
        for contact in self._roster.of_zone(self._own.zone):
            due = now - self._greeted_at.get(contact.name, -GREET_PAUSE) >= GREET_PAUSE
            if contact.name in members or contact.name in self._aggregators or not due:
                continue
            if greeted == GREETED_AT_ONCE:
                return
            greeted += 1
            self._greeted_at[contact.name] = now
            spawn(self._hand_roster, contact)

    def _hand_roster(self, contact: Contact) -> None:
        """Tell a gateway of the zone who is known there."""
        digest = self._roster.digest()
        roster = tuple(self._roster.own_zone())
        report = Report(self._make_state(), digest, roster, departs=True)
        view = self._call(contact, _REPORT, report, VIEW)
        if view is not None:
            self._roster.heard(view.sender)
            self._roster.merge(view.roster)

    # Calls.

    def _call(self, contact: Contact, target: str, message, decoder):
        """Return the decoded answer to a message, or None."""
        request = Request("POST", target, body=encode(message))
        try:
            answer = self._client(contact).call(request, ANSWER_LIMIT)
            if answer.status == 409:
                self._follow_redirect(contact, REDIRECT.decode(answer.body))
                return None
            if answer.status != 200:
                self._roster.failed(contact, f"status {answer.status}")
                return None
            decoded = decoder.decode(answer.body)
        except (HttpError, MessageMalformed) as error:
            self._roster.failed(contact, str(error))
            self._aggregators.pop(contact.name, None)
            return None
        self._dependency.succeeded()
        return decoded

    def _follow_redirect(self, asked: Contact, redirect: Redirect) -> None:
        """Go to the aggregator that another gateway names."""
        self._aggregators.pop(asked.name, None)
        self._groups.pop(asked.name, None)
        aggregator = redirect.aggregator
        if aggregator.name != self._own.name:
            self._roster.merge([aggregator])
            self._aggregators[aggregator.name] = self._clock.elapsed()

    def _client(self, contact: Contact) -> HttpClient:
        client = self._clients.get(contact.name)
        if client is None or client.address != contact.address:
            if client is not None:
                client.close()
            client = HttpClient(contact.address, self._clock, ANSWER_LIMIT)
            self._clients[contact.name] = client
        return client

    def _forget_old(self, now: timedelta) -> None:
        self._roster.forget_old()
        self._roster.keep(self._group.members)
        listed = {contact.name for contact in self._roster.of_zone(self._own.zone)}
        self._group.forget_gone(listed)
        for name, seen_at in list(self._aggregators.items()):
            if now - seen_at > LIFETIME:
                del self._aggregators[name]
        for name in list(self._groups):
            if self._roster.get(name) is None:
                del self._groups[name]
        for name in list(self._clients):
            if self._roster.get(name) is None:
                self._clients.pop(name).close()
