"""What this entry believes about the others: pure state, no input or output.

The rules are SWIM's: a belief has an incarnation that only its subject raises;
at equal incarnations the worse belief holds until the subject refutes it.
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
VERIFY_LIMIT = 512


class Membership:
    """The members as seen from one entry.

    :param me: what this entry says about itself.
    :param clock: source of time.
    :param rng: source of the probing order.
    :param timings: periods and limits.
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
        self._verify: dict[str, None] = {}
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
        """What this entry says about itself."""
        return self._me

    @property
    def members(self) -> tuple[Member, ...]:
        """All other members, dead ones too, by name."""
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
        """Members that this entry probes and tells of news, a bounded number.

        Each entry has its own choice by rendezvous hashing, which together make a
        random graph: every member is probed by about as many others as it
        probes, of all availability zones, and the choice moves little when
        members come and go. So connections last; probing anybody at random would
        cost a handshake a probe in a large fleet.
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
        """Say of this entry that it is leaving."""
        self._speak(state=MemberState.LEAVING, incarnation=self._me.incarnation + 1)

    def renew(self) -> None:
        """Raise this entry's incarnation, for instance after a pause."""
        self._speak(incarnation=self._me.incarnation + 1)

    def apply(self, update: Member, *, served: bool = True) -> bool:
        """Take in a belief and return whether it was news.

        :param update: the belief.
        :param served: whether it came with a message that a peer sent here.

        Only a message that reached this entry's server is a reason to refute.
        An entry whose server is cut off still gets replies to its own probes;
        if it refuted what those say, it would stay a member that nobody can
        reach.
        """
        if update.name == self._me.name:
            return served and self._refute(update)
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

    def learn(self, members: Iterable[Member]) -> None:
        """Take in the list that a joining entry gets; others know it already."""
        for member in members:
            if self.apply(member, served=False):
                self._transmits_left.pop(member.name, None)

    def heard(self, sender: Member, revision: int, *, served: bool) -> bool:
        """Take in what a sender says about itself and return if it was news."""
        news = self.apply(sender, served=served)
        known = self._members.get(sender.name)
        if known is None:
            return news
        if revision > known.revision:
            self._members[sender.name] = replace(known, revision=revision)
            self._version += 1
        if served and known.state >= MemberState.SUSPECT:
            # It sends, which does not show that it answers: ask it directly, with
            # the bad belief in the message, so that it can refute.
            self._verify_soon(sender.name)
        return news

    def suspect(self, name: str, incarnation: int) -> bool:
        """Believe that a member does not answer; return whether it was news."""
        known = self._members.get(name)
        if known is None or known.incarnation != incarnation:
            return False
        return self.apply(replace(known, state=MemberState.SUSPECT))

    def expire(self) -> list[Member]:
        """Declare old suspects dead, forget old dead ones; return the former."""
        now = self._clock.elapsed()
        died = []
        for member in list(self._members.values()):
            age = now - self._changed_at[member.name]
            if self._awaits_first_probe(member):
                continue
            if member.state is MemberState.SUSPECT and age >= self._suspicion:
                dead = replace(member, state=MemberState.DEAD)
                self._store(dead)
                died.append(dead)
            elif self._is_forgotten(member, age):
                self._forget(member.name)
        return died

    def set_candidates(self, instances: Iterable[Instance]) -> None:
        """Take in the platform's list of instances, which lags."""
        entries = [each for each in instances if self._is_candidate(each)]
        self._listed = frozenset(each.name for each in entries)
        for instance in entries:
            known = self._members.get(instance.name)
            if known is None:
                self._introduce(instance)
            elif known.incarnation == 0 and known.state is MemberState.DEAD:
                self._verify_soon(instance.name)

    def next_targets(self, limit: int) -> list[Member]:
        """Return whom to probe in this period.

        One member of a round, and besides up to ``limit`` of those that are to be
        verified: new ones, and those that send but are believed not to answer.
        """
        targets = {}
        while self._verify and len(targets) < limit:
            name = next(iter(self._verify))
            del self._verify[name]
            member = self._members.get(name)
            if member is not None and member.state >= MemberState.SUSPECT:
                self._begin_verification(name)
                targets[name] = member
        member = self._next_of_round()
        if member is not None:
            targets[member.name] = member
        return list(targets.values())

    def helpers(self, target: Member, count: int) -> list[Member]:
        """Return up to ``count`` random usable neighbours besides ``target``."""
        usable = [
            each
            for each in self.neighbours
            if each.is_usable and each.name != target.name
        ]
        return self._rng.sample(usable, min(count, len(usable)))

    def take_updates(self, limit: int, about: str = "") -> list[Member]:
        """Return news to add to a message, the least transmitted first.

        :param limit: highest number of updates.
        :param about: the receiver; a bad belief about it always goes along, so
            that it can refute.
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
            self._spend(name, left)
        return updates

    @property
    def _suspicion(self) -> timedelta:
        # News needs a number of periods that grows with the logarithm of the
        # size, and so does a refutation.
        scale = max(1.0, math.log10(len(self._members) + 1))
        return self._timings.suspicion * scale

    def _speak(self, **changes: object) -> None:
        self._me = replace(self._me, **changes)

    def _refute(self, claim: Member) -> bool:
        if claim.precedence <= self._me.precedence:
            return False
        self._speak(incarnation=claim.incarnation + 1)
        return True

    def _store(self, member: Member) -> None:
        self._members[member.name] = member
        self._changed_at[member.name] = self._clock.elapsed()
        self._version += 1
        size = len(self._members) + 1
        # Besides being spread at once, so that few that missed it remain.
        self._transmits_left[member.name] = math.ceil(math.log2(size + 1))

    def _spend(self, name: str, left: int) -> None:
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

    def _introduce(self, instance: Instance) -> None:
        """Add a listed entry as suspect: the list lags, a probe tells."""
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
        return member.incarnation == 0 and member.name in self._verify

    def _begin_verification(self, name: str) -> None:
        if self._members[name].incarnation == 0:
            self._changed_at[name] = self._clock.elapsed()

    def _is_forgotten(self, member: Member, age: timedelta) -> bool:
        return (
            member.state is MemberState.DEAD
            and member.name not in self._listed
            and age >= self._timings.forget
        )

    def _forget(self, name: str) -> None:
        del self._members[name]
        del self._changed_at[name]
        self._version += 1
        self._transmits_left.pop(name, None)
        self._verify.pop(name, None)

    def _verify_dead(self) -> None:
        """Ask all dead members again: where one came back, others may have.

        After a partition each side would otherwise find the members of the other
        one by one, one in a round.
        """
        for member in self._members.values():
            if member.state is MemberState.DEAD:
                self._verify_soon(member.name)

    def _verify_soon(self, name: str) -> None:
        if len(self._verify) < VERIFY_LIMIT:
            self._verify[name] = None

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

        The other one may be dead. When regions that lost each other can talk
        again, each believes the other's members dead, and these probes alone find
        that they live.
        """
        names = {each.name for each in self.neighbours}
        others = [name for name in self._members if name not in names]
        chosen = [*names, *self._rng.sample(others, min(1, len(others)))]
        self._rng.shuffle(chosen)
        return chosen
