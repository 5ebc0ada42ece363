"""Capacity plan: instances per zone, given prices, refusals and zone losses.

The plan is stateless. Any entry that is the leader computes the same plan from the same
input, and the same start has the same request id, so that two leaders at once, one of
them paused past its lease, start an instance only once.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil

from sassafrasdale.decisions.structures import (
    CapacityPlan,
    CapacityPolicy,
    InstanceOffer,
    RefusedStart,
    ReleaseInstance,
    RunningInstance,
    ServiceDemand,
    StartInstance,
)

Kind = tuple[str, str, bool]
"""Availability zone, instance class and whether it is reclaimable."""

MAX_DOUBLINGS = 16
"""Doublings of a backoff that are computed; it has reached its maximum by then."""


def plan_capacity(
    demand: ServiceDemand,
    instances: Sequence[RunningInstance],
    offers: Sequence[InstanceOffer],
    refused: Sequence[RefusedStart],
    policy: CapacityPolicy,
    round_id: str,
) -> CapacityPlan:
    """Return the orders that provide the capacity that a service needs.

    The capacity suffices without any one availability zone. While a zone is lost, the
    others carry the load without reserve for a second loss.

    :param demand: the service's load.
    :param instances: its instances, including those ordered but not yet listed.
    :param offers: kinds of instance that may be started, with prices.
    :param refused: kinds whose starts were refused.
    :param policy: constants.
    :param round_id: id of the planning round, the same for every leader; part of the
        starts' request ids.
    """
    needed = needed_capacity(demand, policy)
    staying = [instance for instance in instances if not instance.leaving]
    zones = _zone_capacities(demand, staying, offers)
    best = _best_offers(demand, offers, refused, policy)
    survives_zone_loss = not _lost_zones(demand, instances, best)
    targets = _target_capacities(zones, best, needed, survives_zone_loss)
    starts = _start_orders(demand, staying, zones, targets, best, round_id)
    planned = {
        zone: max(capacity, targets.get(zone, 0.0)) for zone, capacity in zones.items()
    }
    shortfall = max(0.0, needed - _usable_capacity(planned, survives_zone_loss))
    if starts or shortfall:
        return CapacityPlan(starts, shortfall)
    prices = _PriceList(offers, best, policy)
    serving = [instance for instance in staying if instance.serving]
    serving_capacity = _ServingCapacity(
        _zone_capacities(demand, serving, offers), needed, survives_zone_loss
    )
    released = _release(serving, prices, serving_capacity, demand)
    return CapacityPlan(released or _replacement(staying, prices, demand, round_id))


def needed_capacity(demand: ServiceDemand, policy: CapacityPolicy) -> float:
    """Return the capacity needed by the time that a new instance would serve."""
    grown = demand.load + max(0.0, demand.growth) * policy.start_time.total_seconds()
    return grown * policy.headroom


class _PriceList:
    """Prices, and which instances are overpriced compared with current offers."""

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
        """Return the price of an instance per unit of capacity."""
        return _unit_price(self._known[_kind(instance)])

    def cheapest(self) -> InstanceOffer | None:
        """Return the offer with the lowest price per capacity."""
        offers = self.best.values()
        return min(offers, key=_unit_price, default=None)

    def is_overpriced(self, instance: RunningInstance) -> bool:
        """Return whether an instance is worth replacing."""
        cheapest = self.cheapest()
        if cheapest is None:
            return False
        limit = self.policy.dear * _unit_price(cheapest)
        return self.unit_price(instance) > limit


@dataclass(frozen=True, slots=True)
class _ServingCapacity:
    """Serving capacity by zone, and how much of it must remain."""

    zones: Mapping[str, float]
    needed: float
    survives_zone_loss: bool

    def suffices_without(self, zone: str, capacity: float, margin: float) -> bool:
        """Return whether the rest suffices without ``capacity`` in ``zone``."""
        left = dict(self.zones)
        left[zone] = left.get(zone, 0.0) - capacity
        return _usable_capacity(left, self.survives_zone_loss) >= self.needed * (
            1 + margin
        )


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
    """Return the permitted offer with the lowest price per capacity in each zone."""
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
    """Return whether an offer was refused too recently to be ordered again."""
    for refusal in refused:
        doublings = min(MAX_DOUBLINGS, max(0, refusal.refusals - 1))
        pause = min(policy.refusal_backoff * 2**doublings, policy.longest_backoff)
        if _kind(refusal) == _kind(offer) and refusal.age < pause:
            return True
    return False


def _lost_zones(
    demand: ServiceDemand,
    instances: Sequence[RunningInstance],
    best: Mapping[str, InstanceOffer],
) -> set[str]:
    """Return the zones that are lost.

    No instance stays there, and either some are leaving or no offer is available.
    """
    running = {item.availability_zone for item in instances if not item.leaving}
    leaving = {item.availability_zone for item in instances if item.leaving}
    return {
        zone
        for zone in demand.availability_zones
        if zone not in running and (zone in leaving or zone not in best)
    }


def _usable_capacity(zones: Mapping[str, float], survives_zone_loss: bool) -> float:
    """Return the capacity that remains after the loss of any one zone."""
    total = sum(zones.values())
    if not survives_zone_loss or len(zones) < 2:
        return total
    return total - max(zones.values())


def _target_capacities(
    zones: Mapping[str, float],
    best: Mapping[str, InstanceOffer],
    needed: float,
    survives_zone_loss: bool,
) -> dict[str, float]:
    """Return the target capacity of each zone, at the lowest price.

    The largest zone's excess over the others doesn't count, since that zone may be the
    one that is lost. So for each possible level of the largest zone, the zones are
    filled up to it, cheapest first, until the rest carry the load.
    """
    if _usable_capacity(zones, survives_zone_loss) >= needed or not best:
        return dict(zones)
    fills = [
        _fill_zones(zones, best, needed, survives_zone_loss, level)
        for level in _fill_levels(best, needed)
    ]
    return min(
        fills,
        key=lambda fill: _fill_sort_key(fill, zones, best, needed, survives_zone_loss),
    )


def _fill_levels(best: Mapping[str, InstanceOffer], needed: float) -> list[float]:
    """Return the capacities that one zone may be filled up to."""
    step = min(offer.capacity for offer in best.values())
    return [step * count for count in range(1, ceil(needed / step) + 2)]


def _fill_zones(
    zones: Mapping[str, float],
    best: Mapping[str, InstanceOffer],
    needed: float,
    survives_zone_loss: bool,
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
            if _usable_capacity(filled, survives_zone_loss) >= needed:
                return filled
            filled[zone] += offer.capacity
    return filled


def _fill_sort_key(
    filled: Mapping[str, float],
    zones: Mapping[str, float],
    best: Mapping[str, InstanceOffer],
    needed: float,
    survives_zone_loss: bool,
) -> tuple[float, float, float]:
    """Return the sort key: capacity missing after a zone loss, in total, and price."""
    price = sum(
        (filled[zone] - zones[zone]) / offer.capacity * offer.price_per_hour
        for zone, offer in best.items()
    )
    missing = max(0.0, needed - _usable_capacity(filled, survives_zone_loss))
    total_missing = max(0.0, needed - sum(filled.values()))
    return (missing, total_missing, price)


def _start_orders(
    demand: ServiceDemand,
    staying: Sequence[RunningInstance],
    zones: Mapping[str, float],
    targets: Mapping[str, float],
    best: Mapping[str, InstanceOffer],
    round_id: str,
) -> tuple[StartInstance, ...]:
    """Return the starts that bring each zone to its target capacity."""
    orders = []
    for zone, offer in sorted(best.items()):
        missing = targets.get(zone, 0.0) - zones[zone]
        first = sum(1 for instance in staying if _kind(instance) == _kind(offer))
        for ordinal in range(first, first + max(0, round(missing / offer.capacity))):
            orders.append(_start(offer, demand.service, ordinal, round_id))
    if not orders and len(staying) < demand.min_instances and best:
        offer = min(best.values(), key=lambda offer: offer.price_per_hour)
        orders.append(_start(offer, demand.service, len(staying), round_id))
    return tuple(orders)


def _start(
    offer: InstanceOffer, service: str, ordinal: int, round_id: str
) -> StartInstance:
    pricing = "reclaimable" if offer.reclaimable else "on-demand"
    zone = offer.availability_zone
    request_id = f"{service}-{zone}-{offer.instance_class}-{pricing}"
    return StartInstance(
        f"{request_id}-{ordinal}-{round_id}",
        service,
        zone,
        offer.instance_class,
        offer.reclaimable,
    )


def _release(
    serving: Sequence[RunningInstance],
    prices: _PriceList,
    serving_capacity: _ServingCapacity,
    demand: ServiceDemand,
) -> tuple[ReleaseInstance, ...]:
    """Return an order for the most expensive instance that is not needed, if any.

    One per round, so that the next round sees its effect. An overpriced instance is
    released without the margin, as its replacement already serves.
    """
    if len(serving) <= demand.min_instances:
        return ()
    priced = [instance for instance in serving if prices.knows(instance)]
    priced.sort(key=lambda item: (-prices.unit_price(item), item.in_flight, item.name))
    for instance in priced:
        margin = (
            0.0 if prices.is_overpriced(instance) else prices.policy.give_back_margin
        )
        zone = instance.availability_zone
        if serving_capacity.suffices_without(zone, prices.capacity(instance), margin):
            return (ReleaseInstance(instance.name),)
    return ()


def _replacement(
    staying: Sequence[RunningInstance],
    prices: _PriceList,
    demand: ServiceDemand,
    round_id: str,
) -> tuple[StartInstance, ...]:
    """Return a start that replaces an overpriced instance, if there is one.

    Nothing is started while an earlier start is not serving yet.
    """
    if not all(instance.serving for instance in staying):
        return ()
    for instance in staying:
        if not prices.knows(instance) or not prices.is_overpriced(instance):
            continue
        offer = prices.best.get(instance.availability_zone) or prices.cheapest()
        if _unit_price(offer) < prices.unit_price(instance):
            running = sum(1 for other in staying if _kind(other) == _kind(offer))
            return (_start(offer, demand.service, running, round_id),)
    return ()
