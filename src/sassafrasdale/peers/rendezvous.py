"""Rendezvous hashing: an order of members per key, the same on every entry."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from sassafrasdale.peers.structures import Member


def rendezvous(request_id: str, members: Iterable[Member]) -> list[Member]:
    """Return ``members`` sorted by their rendezvous weights for ``request_id``.

    Adding or removing a member doesn't change the order of the others.
    """

    def weight(member: Member) -> tuple[int, str]:
        return (xxh3_64_intdigest(f"{member.name}\0{request_id}".encode()), member.name)

    return sorted(members, key=weight, reverse=True)


def first_of_each_zone(ordered: Iterable[Member]) -> list[Member]:
    """Return the first member of each availability zone, in order."""
    firsts: dict[str, Member] = {}
    for member in ordered:
        firsts.setdefault(member.availability_zone, member)
    return list(firsts.values())
