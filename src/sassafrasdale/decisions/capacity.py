"""What runs where: wanted instances under prices, refusals and zone losses.

The plan holds no state. Any entry that has the duty makes the same plan from the
same view, and the same start carries the same request id, so that two holders
at once, one of them paused past its lease, start an instance only once.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil

from sassafrasdale.decisions.structures import (
    CapacityPlan,
    CapacityPolicy,
    GiveBack,
    InstanceOffer,
    RefusedStart,
    RunningInstance,
    ServiceDemand,
    StartInstance,
)

Kind = tuple[str, str, bool]
"""Availability zone, instance class and whether it is reclaimable."""

LARGEST_DOUBLING = 16
"""Doublings of a pause that are worth computing; it is at its longest by then."""


def plan_capacity(
    demand: ServiceDemand,
    instances: Sequence[RunningInstance],
    offers: Sequence[InstanceOffer],
    refused: Sequence[RefusedStart],
    policy: CapacityPolicy,
    round_id: str,
) -> CapacityPlan:
    """Return the orders that bring a service to the capacity that it needs.

    The need is met without any one availability zone. While a zone is lost, the
    others carry the need without room for a second loss.

    :param demand: the service's load.
    :param instances: its instances, with those ordered but not yet listed.
    :param offers: kinds of instance that may be started, with prices.
    :param refused: kinds whose starts were refused.
    :param policy: constants.
    :param round_id: names the planning period, the same for every holder of the
        duty, as part of the starts' request ids.
    """
    needed = needed_capacity(demand, policy)
    staying = [instance for instance in instances if not instance.leaving]
    zones = _zone_capacities(demand, staying, offers)
    best = _best_offers(demand, offers, refused, policy)
    room = not _lost_zones(demand, instances, best)
    wanted = _wanted(zones, best, needed, room)
    starts = _starts(demand, staying, zones, wanted, best, round_id)
    after = {zone: max(held, wanted.get(zone, 0.0)) for zone, held in zones.items()}
    shortfall = max(0.0, needed - _guaranteed(after, room))
    if starts or shortfall:
        return CapacityPlan(starts, shortfall)
    market = _Market(offers, best, policy)
    serving = [instance for instance in staying if instance.serving]
    surplus = _Surplus(_zone_capacities(demand, serving, offers), needed, room)
    given_back = _give_back(serving, market, surplus, demand)
    return CapacityPlan(given_back or _replace(staying, market, demand, round_id))


def needed_capacity(demand: ServiceDemand, policy: CapacityPolicy) -> float:
    """Return the capacity that the load needs by the time a start would serve."""
    grown = demand.load + max(0.0, demand.growth) * policy.start_time.total_seconds()
    return grown * policy.headroom


class _Market:
    """Prices, and which instances are dear against what can be had now."""

    def __init__(
        self,
        offers: Sequence[InstanceOffer],
        best: Mapping[str, InstanceOffer],
        policy: CapacityPolicy,
    ) -> None:
        self._known = {_kind(offer): offer for offer in offers}
        self.best = best
        self.policy = policy

    def knows(self, instance: RunningInstance) -> bool:
        """Return whether the cloud has a price for an instance."""
        return _kind(instance) in self._known

    def capacity(self, instance: RunningInstance) -> float:
        """Return the load that an instance carries."""
        return self._known[_kind(instance)].capacity

    def unit_price(self, instance: RunningInstance) -> float:
        """Return the price of an instance for each unit of its capacity."""
        return _unit_price(self._known[_kind(instance)])

    def cheapest(self) -> InstanceOffer | None:
        """Return the cheapest offer for capacity that may be started."""
        offers = self.best.values()
        return min(offers, key=_unit_price, default=None)

    def is_dear(self, instance: RunningInstance) -> bool:
        """Return whether an instance is worth replacing."""
        cheapest = self.cheapest()
        if cheapest is None:
            return False
        limit = self.policy.dear * _unit_price(cheapest)
        return self.unit_price(instance) > limit


@dataclass(frozen=True, slots=True)
class _Surplus:
    """What serves, and how much of it has to stay."""

    zones: Mapping[str, float]
    needed: float
    room: bool

    def covers(self, zone: str, capacity: float, margin: float) -> bool:
        """Return whether enough serves without ``capacity`` in ``zone``."""
        left = dict(self.zones)
        left[zone] = left.get(zone, 0.0) - capacity
        return _guaranteed(left, self.room) >= self.needed * (1 + margin)


def _kind(item: InstanceOffer | RunningInstance | RefusedStart) -> Kind:
    return (item.availability_zone, item.instance_class, item.reclaimable)


def _zone_capacities(
    demand: ServiceDemand,
    staying: Sequence[RunningInstance],
    offers: Sequence[InstanceOffer],
) -> dict[str, float]:
    capacities = {_kind(offer): offer.capacity for offer in offers}
    zones = dict.fromkeys(demand.availability_zones, 0.0)
    for instance in staying:
        zone = instance.availability_zone
        zones[zone] = zones.get(zone, 0.0) + capacities.get(_kind(instance), 0.0)
    return zones


def _best_offers(
    demand: ServiceDemand,
    offers: Sequence[InstanceOffer],
    refused: Sequence[RefusedStart],
    policy: CapacityPolicy,
) -> dict[str, InstanceOffer]:
    """Return the cheapest permitted offer for capacity in each zone."""
    best: dict[str, InstanceOffer] = {}
    for offer in offers:
        zone = offer.availability_zone
        if zone not in demand.availability_zones or _backed_off(offer, refused, policy):
            continue
        if zone not in best or _unit_price(offer) < _unit_price(best[zone]):
            best[zone] = offer
    return best


def _unit_price(offer: InstanceOffer) -> float:
    """Return the price of one unit of capacity."""
    return offer.price_per_hour / offer.capacity


def _backed_off(
    offer: InstanceOffer, refused: Sequence[RefusedStart], policy: CapacityPolicy
) -> bool:
    """Return whether the last refusal of an offer is too recent to ask again."""
    for refusal in refused:
        doublings = min(LARGEST_DOUBLING, max(0, refusal.refusals - 1))
        pause = min(policy.refusal_backoff * 2**doublings, policy.longest_backoff)
        if _kind(refusal) == _kind(offer) and refusal.age < pause:
            return True
    return False


def _lost_zones(
    demand: ServiceDemand,
    instances: Sequence[RunningInstance],
    best: Mapping[str, InstanceOffer],
) -> set[str]:
    """Return the zones that are being reclaimed or offer nothing and run nothing."""
    running = {item.availability_zone for item in instances if not item.leaving}
    leaving = {item.availability_zone for item in instances if item.leaving}
    return {
        zone
        for zone in demand.availability_zones
        if zone not in running and (zone in leaving or zone not in best)
    }


def _guaranteed(zones: Mapping[str, float], room: bool) -> float:
    """Return the capacity that is left for sure."""
    total = sum(zones.values())
    if not room or len(zones) < 2:
        return total
    return total - max(zones.values())


def _wanted(
    zones: Mapping[str, float],
    best: Mapping[str, InstanceOffer],
    needed: float,
    room: bool,
) -> dict[str, float]:
    """Return the capacity wanted in each zone, at the lowest price.

    What the fullest zone has beyond the others doesn't count, since it may be
    the one that is lost. So for each level that the fullest may have, the zones
    are filled up to it, cheapest first, until the rest carry the need.
    """
    if _guaranteed(zones, room) >= needed or not best:
        return dict(zones)
    fills = [
        _filled(zones, best, needed, room, level) for level in _levels(best, needed)
    ]
    return min(fills, key=lambda fill: _fill_rank(fill, zones, best, needed, room))


def _levels(best: Mapping[str, InstanceOffer], needed: float) -> list[float]:
    """Return the capacities that one zone may be filled up to."""
    step = min(offer.capacity for offer in best.values())
    return [step * count for count in range(1, ceil(needed / step) + 2)]


def _filled(
    zones: Mapping[str, float],
    best: Mapping[str, InstanceOffer],
    needed: float,
    room: bool,
    level: float,
) -> dict[str, float]:
    """Return the zones' capacities, filled up to ``level`` until they suffice."""
    filled = dict(zones)
    by_price = sorted(
        best.values(),
        key=lambda offer: (
            _unit_price(offer),
            offer.availability_zone,
        ),
    )
    for offer in by_price:
        zone = offer.availability_zone
        while filled[zone] + offer.capacity <= level + 1e-9:
            if _guaranteed(filled, room) >= needed:
                return filled
            filled[zone] += offer.capacity
    return filled


def _fill_rank(
    filled: Mapping[str, float],
    zones: Mapping[str, float],
    best: Mapping[str, InstanceOffer],
    needed: float,
    room: bool,
) -> tuple[float, float, float]:
    """Order fills: those that carry most with room, then most at all, then price."""
    price = sum(
        (filled[zone] - zones[zone]) / offer.capacity * offer.price_per_hour
        for zone, offer in best.items()
    )
    missing = max(0.0, needed - _guaranteed(filled, room))
    missing_at_all = max(0.0, needed - sum(filled.values()))
    return (missing, missing_at_all, price)


def _starts(
    demand: ServiceDemand,
    staying: Sequence[RunningInstance],
    zones: Mapping[str, float],
    wanted: Mapping[str, float],
    best: Mapping[str, InstanceOffer],
    round_id: str,
) -> tuple[StartInstance, ...]:
    """Return the starts that bring each zone from what it has to what is wanted."""
    orders = []
    for zone, offer in sorted(best.items()):
        missing = wanted.get(zone, 0.0) - zones[zone]
        first = sum(1 for instance in staying if _kind(instance) == _kind(offer))
        for ordinal in range(first, first + max(0, round(missing / offer.capacity))):
            orders.append(_start(offer, demand.service, ordinal, round_id))
    if not orders and len(staying) < demand.least_instances and best:
        offer = min(best.values(), key=lambda offer: offer.price_per_hour)
        orders.append(_start(offer, demand.service, len(staying), round_id))
    return tuple(orders)


def _start(
    offer: InstanceOffer, service: str, ordinal: int, round_id: str
) -> StartInstance:
    market = "reclaimable" if offer.reclaimable else "on-demand"
    zone = offer.availability_zone
    request_id = f"{service}-{zone}-{offer.instance_class}-{market}"
    return StartInstance(
        f"{request_id}-{ordinal}-{round_id}",
        service,
        zone,
        offer.instance_class,
        offer.reclaimable,
    )


def _give_back(
    serving: Sequence[RunningInstance],
    market: _Market,
    surplus: _Surplus,
    demand: ServiceDemand,
) -> tuple[GiveBack, ...]:
    """Return an order for the dearest instance that is not needed, if any.

    One a round, so that the next round sees what the first did. A dear instance
    goes without the margin, as its replacement serves already.
    """
    if len(serving) <= demand.least_instances:
        return ()
    priced = [instance for instance in serving if market.knows(instance)]
    priced.sort(key=lambda item: (-market.unit_price(item), item.in_flight, item.name))
    for instance in priced:
        margin = 0.0 if market.is_dear(instance) else market.policy.give_back_margin
        zone = instance.availability_zone
        if surplus.covers(zone, market.capacity(instance), margin):
            return (GiveBack(instance.name),)
    return ()


def _replace(
    staying: Sequence[RunningInstance],
    market: _Market,
    demand: ServiceDemand,
    round_id: str,
) -> tuple[StartInstance, ...]:
    """Return a start of what will replace a dear instance, if there is one.

    Nothing is started while an earlier start has not come up.
    """
    if not all(instance.serving for instance in staying):
        return ()
    for instance in staying:
        if not market.knows(instance) or not market.is_dear(instance):
            continue
        offer = market.best.get(instance.availability_zone) or market.cheapest()
        if _unit_price(offer) < market.unit_price(instance):
            held = sum(1 for other in staying if _kind(other) == _kind(offer))
            return (_start(offer, demand.service, held, round_id),)
    return ()
