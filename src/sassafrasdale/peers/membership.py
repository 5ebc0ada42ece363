"""SWIM membership as seen from one entry: state only, without I/O.

Each member state has an incarnation that only the member itself raises. At equal
incarnations the worse state wins until the member refutes it.
"""

import math
from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta
from random import Random

from sassafrasdale.clock import Clock
from sassafrasdale.peers.rendezvous import rendezvous
from sassafrasdale.peers.structures import Member, MemberState, PeerTimings
from sassafrasdale.structures import Instance, InstanceState, Role

NEIGHBOUR_COUNT = 16
MAX_TO_VERIFY = 512


class Membership:
    """The members as seen from one entry.

    :param me: this entry's own state.
    :param clock: source of time.
    :param rng: source of the probing order.
    :param timings: periods and timeouts.
    """

    def __init__(
        self, me: Member, clock: Clock, rng: Random, timings: PeerTimings
    ) -> None:
        self._me = me
        self._clock = clock
        self._rng = rng
        self._timings = timings
        self._members: dict[str, Member] = {}
        self._changed_at: dict[str, timedelta] = {}
        self._listed: frozenset[str] = frozenset()
        self._round: list[str] = []
        self._to_verify: dict[str, None] = {}
        self._transmits_left: dict[str, int] = {}
        self._version = 0
        self._neighbours: list[Member] = []
        self._neighbours_version = -1

    @property
    def version(self) -> int:
        """Number that grows with each change of :attr:`members`."""
        return self._version

    @property
    def me(self) -> Member:
        """Own state of this entry."""
        return self._me

    @property
    def members(self) -> tuple[Member, ...]:
        """All other members, including dead ones, sorted by name."""
        return tuple(sorted(self._members.values(), key=lambda each: each.name))

    @property
    def reachable(self) -> list[Member]:
        """Members that are not dead."""
        return [
            each
            for each in self._members.values()
            if each.state is not MemberState.DEAD
        ]

    @property
    def neighbours(self) -> list[Member]:
        """Bounded set of members that this entry probes and sends updates to.

        Each entry chooses its own by rendezvous hashing; together the choices form
        a random graph. Every member is probed by about as many others as it
        probes, from all availability zones, and the choice changes little when
        members join or leave. So connections are reused; with random targets each
        probe in a large fleet would need a new handshake.
        """
        if self._neighbours_version != self._version:
            ordered = rendezvous(self._me.name, self.reachable)
            self._neighbours = ordered[:NEIGHBOUR_COUNT]
            self._neighbours_version = self._version
        return self._neighbours

    def get(self, name: str) -> Member | None:
        """Return the member ``name``, or None if there is none."""
        return self._members.get(name)

    def leave(self) -> None:
        """Mark this entry as leaving."""
        self._update_me(state=MemberState.LEAVING, incarnation=self._me.incarnation + 1)

    def raise_incarnation(self) -> None:
        """Raise this entry's incarnation, for instance after a pause."""
        self._update_me(incarnation=self._me.incarnation + 1)

    def apply(self, update: Member, *, from_request: bool = True) -> bool:
        """Apply a member's state and return whether it was new.

        :param update: the member with its state.
        :param from_request: whether it came with a request to this entry's server.

        This entry refutes only what came with a request. If its server is
        unreachable, it still gets replies to its own probes; by refuting these, it
        would remain a member that nobody can reach.
        """
        if update.name == self._me.name:
            return from_request and self._refute(update)
        known = self._members.get(update.name)
        if known is not None and update.precedence <= known.precedence:
            return False
        if known is None and update.state is MemberState.DEAD:
            return False
        if known is not None:
            update = replace(update, revision=known.revision)
        self._store(update)
        if known is not None and known.state is MemberState.DEAD:
            self._verify_dead()
        return True

    def merge_members(self, members: Iterable[Member]) -> None:
        """Apply the members that a joining entry receives, without gossiping them.

        The other entries know them already.
        """
        for member in members:
            if self.apply(member, from_request=False):
                self._transmits_left.pop(member.name, None)

    def apply_sender(
        self, sender: Member, revision: int, *, from_request: bool
    ) -> bool:
        """Apply a sender's own state and return whether it was new."""
        is_new = self.apply(sender, from_request=from_request)
        known = self._members.get(sender.name)
        if known is None:
            return is_new
        if revision > known.revision:
            self._members[sender.name] = replace(known, revision=revision)
            self._version += 1
        if from_request and known.state >= MemberState.SUSPECT:
            # That it sends requests doesn't show that it replies. Probe it, with
            # its recorded state in the message, so that it can refute that.
            self._verify_soon(sender.name)
        return is_new

    def suspect(self, name: str, incarnation: int) -> bool:
        """Mark a member as suspect and return whether that was new."""
        known = self._members.get(name)
        if known is None or known.incarnation != incarnation:
            return False
        return self.apply(replace(known, state=MemberState.SUSPECT))

    def expire(self) -> list[Member]:
        """Mark timed-out suspects as dead and return them; remove old dead members."""
        now = self._clock.elapsed()
        newly_dead = []
        for member in list(self._members.values()):
            age = now - self._changed_at[member.name]
            if self._awaits_first_probe(member):
                continue
            if member.state is MemberState.SUSPECT and age >= self._suspicion_timeout:
                dead = replace(member, state=MemberState.DEAD)
                self._store(dead)
                newly_dead.append(dead)
            elif self._is_removable(member, age):
                self._remove(member.name)
        return newly_dead

    def set_candidates(self, instances: Iterable[Instance]) -> None:
        """Apply the platform's list of instances, which may be out of date."""
        entries = [each for each in instances if self._is_candidate(each)]
        self._listed = frozenset(each.name for each in entries)
        for instance in entries:
            known = self._members.get(instance.name)
            if known is None:
                self._add_listed(instance)
            elif known.incarnation == 0 and known.state is MemberState.DEAD:
                self._verify_soon(instance.name)

    def next_targets(self, limit: int) -> list[Member]:
        """Return the members to probe in this period.

        These are the next member of the round, and up to ``limit`` members to
        verify: new ones, and suspect or dead ones that still send requests.
        """
        targets = {}
        while self._to_verify and len(targets) < limit:
            name = next(iter(self._to_verify))
            del self._to_verify[name]
            member = self._members.get(name)
            if member is not None and member.state >= MemberState.SUSPECT:
                self._begin_verification(name)
                targets[name] = member
        member = self._next_of_round()
        if member is not None:
            targets[member.name] = member
        return list(targets.values())

    def helpers(self, target: Member, count: int) -> list[Member]:
        """Return up to ``count`` random usable neighbours other than ``target``."""
        usable = [
            each
            for each in self.neighbours
            if each.is_usable and each.name != target.name
        ]
        return self._rng.sample(usable, min(count, len(usable)))

    def take_updates(self, limit: int, about: str = "") -> list[Member]:
        """Return updates to add to a message, the least transmitted first.

        :param limit: maximum number of updates.
        :param about: the receiver; if it is suspect or dead, its state is always
            included, so that it can refute it.
        """
        updates = []
        known = self._members.get(about)
        if known is not None and known.state >= MemberState.SUSPECT:
            updates.append(known)
        pending = sorted(self._transmits_left.items(), key=lambda item: -item[1])
        for name, left in pending[: limit - len(updates)]:
            member = self._members.get(name)
            if member is not None and name != about:
                updates.append(member)
            self._count_transmit(name, left)
        return updates

    @property
    def _suspicion_timeout(self) -> timedelta:
        # Both an update and its refutation take a number of periods that grows
        # with the logarithm of the number of members.
        scale = max(1.0, math.log10(len(self._members) + 1))
        return self._timings.suspicion * scale

    def _update_me(self, **changes: object) -> None:
        self._me = replace(self._me, **changes)

    def _refute(self, update: Member) -> bool:
        if update.precedence <= self._me.precedence:
            return False
        self._update_me(incarnation=update.incarnation + 1)
        return True

    def _store(self, member: Member) -> None:
        self._members[member.name] = member
        self._changed_at[member.name] = self._clock.elapsed()
        self._version += 1
        size = len(self._members) + 1
        # Gossiped in addition to the immediate spread, to reach those that missed it.
        self._transmits_left[member.name] = math.ceil(math.log2(size + 1))

    def _count_transmit(self, name: str, left: int) -> None:
        if left <= 1 or name not in self._members:
            del self._transmits_left[name]
        else:
            self._transmits_left[name] = left - 1

    def _is_candidate(self, instance: Instance) -> bool:
        return (
            instance.role is Role.ENTRY
            and instance.peer_address is not None
            and instance.state is InstanceState.RUNNING
            and instance.name != self._me.name
        )

    def _add_listed(self, instance: Instance) -> None:
        """Add a listed entry as suspect, to be probed, as the list may be outdated."""
        self._members[instance.name] = Member(
            name=instance.name,
            availability_zone=instance.availability_zone,
            address=instance.address,
            peer_address=instance.peer_address,
            state=MemberState.SUSPECT,
        )
        self._changed_at[instance.name] = self._clock.elapsed()
        self._version += 1
        self._verify_soon(instance.name)

    def _awaits_first_probe(self, member: Member) -> bool:
        return member.incarnation == 0 and member.name in self._to_verify

    def _begin_verification(self, name: str) -> None:
        if self._members[name].incarnation == 0:
            self._changed_at[name] = self._clock.elapsed()

    def _is_removable(self, member: Member, age: timedelta) -> bool:
        return (
            member.state is MemberState.DEAD
            and member.name not in self._listed
            and age >= self._timings.forget
        )

    def _remove(self, name: str) -> None:
        del self._members[name]
        del self._changed_at[name]
        self._version += 1
        self._transmits_left.pop(name, None)
        self._to_verify.pop(name, None)

    def _verify_dead(self) -> None:
        """Probe all dead members again after one has come back.

        Otherwise, after a partition, each side would find only one member of the
        other side per round.
        """
        for member in self._members.values():
            if member.state is MemberState.DEAD:
                self._verify_soon(member.name)

    def _verify_soon(self, name: str) -> None:
        if len(self._to_verify) < MAX_TO_VERIFY:
            self._to_verify[name] = None

    def _next_of_round(self) -> Member | None:
        for _ in range(2):
            while self._round:
                member = self._members.get(self._round.pop())
                if member is not None:
                    return member
            self._round = self._new_round()
        return None

    def _new_round(self) -> list[str]:
        """Return every neighbour and one other member, in random order.

        The other member may be dead. After a partition between regions, each side
        considers the other's members dead, and only these probes reach them.
        """
        names = {each.name for each in self.neighbours}
        others = [name for name in self._members if name not in names]
        chosen = [*names, *self._rng.sample(others, min(1, len(others)))]
        self._rng.shuffle(chosen)
        return chosen
