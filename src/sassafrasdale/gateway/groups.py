"""Totals that an aggregator computes from its members' reports."""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp
from statistics import fmean

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.aggregators import CONTACT_TIMEOUT, EXPIRY_TIMEOUT
from sassafrasdale.gateway.canary_reports import CanaryReport, sum_reports, without_rows
from sassafrasdale.gateway.peer_states import (
    Contact,
    DutyClaim,
    EndpointLoad,
    GroupLimitUsage,
    GroupState,
    MemberState,
    recent_demand,
)


@dataclass(slots=True)
class _Member:
    """The last report of a gateway.

    :param counted: its usage counted here since its first report, by customer.
    """

    state: MemberState
    reported_at: timedelta
    counted: Counter[str] = field(default_factory=Counter)


class Group:
    """The gateways that report to this one, itself included.

    :param work_window: period over which each gateway averages its engine time.
    :param clock: source of elapsed time.
    """

    def __init__(self, work_window: timedelta, clock: Clock) -> None:
        self._work_window = work_window
        self._clock = clock
        self._members: dict[str, _Member] = {}
        self._spent: Counter[str] = Counter()
        self._epoch = 0
        self._counting_since = clock.elapsed()

    @property
    def members(self) -> set[str]:
        """Names of the members that reported within the expiry timeout."""
        return set(self._reported_within(EXPIRY_TIMEOUT))

    @property
    def in_touch(self) -> set[str]:
        """Names of the members that reported within the contact timeout."""
        return set(self._reported_within(CONTACT_TIMEOUT))

    @property
    def complete_since(self) -> float:
        """Time at or after which all members in touch reported; 0 without members."""
        return _complete_since(self._reported_within(CONTACT_TIMEOUT).values())

    def _reported_within(self, limit: timedelta) -> dict[str, _Member]:
        now = self._clock.elapsed()
        return {
            name: member
            for name, member in self._members.items()
            if now - member.reported_at <= limit
        }

    def record_report(self, state: MemberState) -> None:
        """Record a member's report.

        The usage of a new member that no aggregator has counted yet is counted here;
        otherwise customers could use that part of their limits twice.
        """
        name = state.contact.name
        last = self._members.get(name)
        counted = Counter() if last is None else last.counted
        restarted = last is None or (
            last.state.contact.incarnation != state.contact.incarnation
        )
        for customer, usage in state.limit_usage.items():
            known = usage.counted
            if not restarted and customer in last.state.limit_usage:
                known = last.state.limit_usage[customer].admitted
            delta = usage.admitted - known
            counted[customer] += delta
            self._spent[customer] += delta
        self._members[name] = _Member(state, self._clock.elapsed(), counted)

    def remove(self, name: str) -> None:
        """Remove a member that reports to another gateway or is shutting down."""
        self._members.pop(name, None)

    def reset(self) -> None:
        """Remove all members and reset the counters under a new epoch."""
        self._members.clear()
        self._spent.clear()
        self._epoch += 1
        self._counting_since = self._clock.elapsed()

    def remove_unlisted(self, listed: Collection[str]) -> None:
        """Remove members that are both expired and unlisted."""
        unexpired = self.members
        for name in list(self._members):
            if name not in listed and name not in unexpired:
                self.remove(name)

    def totals(
        self,
        aggregator: Contact,
        *,
        without: str = "",
        listed: Iterable[str] = (),
        gateway_count: int = 1,
        concise: bool = False,
    ) -> GroupState:
        """Return the totals over all members except one.

        :param without: member to leave out, which receives the totals.
        :param listed: gateways that belong here; those without a report are silent.
        :param gateway_count: number of all gateways. A gateway that has reported no
            share of a limit may use an equal share.
        :param concise: whether to omit the counts that only aggregators need.
        """
        now = self._clock.elapsed()
        members = {
            name: member for name, member in self._members.items() if name != without
        }
        in_touch = [
            member
            for name, member in self._reported_within(CONTACT_TIMEOUT).items()
            if name != without
        ]
        missing = [name for name in listed if name not in members and name != without]
        starts = [member.state.contact.incarnation for member in in_touch]
        return GroupState(
            aggregator=aggregator,
            epoch=self._epoch,
            gateways=len(in_touch),
            silent=len(members) - len(in_touch) + len(missing),
            loads=_loads(members.values(), now),
            limit_usage=self._limit_usage(
                members, without, len(missing), 1 / gateway_count
            ),
            engine_time=self._engine_time(members.values(), now),
            leader=_leader(in_touch),
            oldest_incarnation=min(starts, default=0),
            complete_since=_complete_since(in_touch),
            follows_store=any(member.state.follows_store for member in in_touch),
            prefill_times=_prefill_times(in_touch),
            counting_s=(now - self._counting_since).total_seconds(),
            canary_reports=_canary_results(members.values(), concise=concise),
        )

    def _limit_usage(
        self,
        members: dict[str, _Member],
        without: str,
        missing: int,
        equal_share: float,
    ) -> dict[str, GroupLimitUsage]:
        now = self._clock.elapsed()
        excluded = self._members.get(without)
        totals = {}
        for customer in self._customers():
            demand = recent = used = share = reserved = 0.0
            for member in members.values():
                report = member.state.limit_usage.get(customer)
                if now - member.reported_at > CONTACT_TIMEOUT:
                    reserved += equal_share if report is None else report.share
                elif report is not None:
                    demand += report.demand
                    recent += recent_demand(report)
                    used = max(used, report.used)
                    share += report.share
            spent = self._spent[customer]
            if excluded is not None:
                spent -= excluded.counted[customer]
            reserved += equal_share * missing
            totals[customer] = GroupLimitUsage(
                demand, spent, used, share, reserved, recent
            )
        return totals

    def _customers(self) -> set[str]:
        return set().union(
            *(member.state.limit_usage for member in self._members.values())
        )

    def _engine_time(
        self, members: Iterable[_Member], now: timedelta
    ) -> dict[str, float]:
        """Return the members' engine time, decaying that of silent members.

        Callers of a silent member move to other gateways, whose averages rise at the
        same rate.
        """
        total: Counter[str] = Counter()
        for member in members:
            silence = max(now - member.reported_at - CONTACT_TIMEOUT, timedelta())
            decay = exp(-(silence / self._work_window))
            for service, engine_time in member.state.engine_time.items():
                total[service] += engine_time * decay
        return dict(total)


def _loads(members: Iterable[_Member], now: timedelta) -> dict[str, EndpointLoad]:
    in_flight: Counter[str] = Counter()
    prefill: Counter[str] = Counter()
    for member in members:
        if now - member.reported_at > EXPIRY_TIMEOUT:
            continue
        for endpoint, load in member.state.loads.items():
            in_flight[endpoint] += load.in_flight
            prefill[endpoint] += load.prefill_tokens
    return {
        endpoint: EndpointLoad(count, prefill[endpoint])
        for endpoint, count in in_flight.items()
    }


def _canary_results(
    members: Iterable[_Member], *, concise: bool
) -> tuple[CanaryReport, ...]:
    reported = tuple(
        report for member in members for report in member.state.canary_reports
    )
    if not reported:
        return ()
    return sum_reports(without_rows(reported) if concise else reported)


def _leader(in_touch: Iterable[_Member]) -> DutyClaim | None:
    claims = [member.state.duty for member in in_touch if member.state.duty is not None]
    return max(claims, key=lambda claim: claim.fencing_number, default=None)


def _complete_since(in_touch: Iterable[_Member]) -> float:
    return min((member.state.time.true for member in in_touch), default=0.0)


def _prefill_times(in_touch: Iterable[_Member]) -> dict[str, float]:
    reported: dict[str, list[float]] = {}
    for member in in_touch:
        for service, seconds in member.state.prefill_times.items():
            reported.setdefault(service, []).append(seconds)
    return {service: fmean(times) for service, times in reported.items()}
