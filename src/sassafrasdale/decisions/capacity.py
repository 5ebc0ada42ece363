"""What runs where: wanted instances under prices, refusals and zone losses."""

from collections.abc import Sequence

from sassafrasdale.decisions.structures import (
    CapacityOrder,
    CapacityPlan,
    CapacityPolicy,
    GiveBack,
    InstanceOffer,
    RefusedStart,
    RunningInstance,
    ServiceDemand,
    StartInstance,
)


def plan_capacity(
    demand: ServiceDemand,
    instances: Sequence[RunningInstance],
    offers: Sequence[InstanceOffer],
    refused: Sequence[RefusedStart],
    policy: CapacityPolicy,
    round_id: str,
) -> CapacityPlan:
    """Return the orders that bring a service to the capacity that it needs.

    The need is met without any one availability zone, so that the loss of one
    leaves enough.

    :param demand: the service's load.
    :param instances: its instances, with those ordered but not yet listed.
    :param offers: kinds of instance that may be started, with prices.
    :param refused: kinds whose starts were refused.
    :param policy: constants.
    :param round_id: names this round, as part of the starts' request ids.
    """
    needed = needed_capacity(demand, policy)
    usable = [offer for offer in offers if _permitted(offer, demand, refused, policy)]
    capacities = {_kind(offer): offer.capacity for offer in offers}
    zones = dict.fromkeys(demand.availability_zones, 0.0)
    staying = [instance for instance in instances if not instance.leaving]
    for instance in staying:
        zone = instance.availability_zone
        zones[zone] = zones.get(zone, 0.0) + capacities.get(_kind(instance), 0.0)
    orders: list[CapacityOrder] = []
    while usable and _short(zones, needed, len(staying) + len(orders), demand):
        offer = min(usable, key=lambda offer: _rank(offer, zones, policy))
        zones[offer.availability_zone] += offer.capacity
        orders.append(_start(offer, demand.service, f"{round_id}-{len(orders)}"))
    if orders:
        return CapacityPlan(tuple(orders), max(0.0, needed - _after_loss(zones)))
    given_back = _give_back(staying, zones, capacities, offers, needed, demand, policy)
    return CapacityPlan(given_back, max(0.0, needed - _after_loss(zones)))


def needed_capacity(demand: ServiceDemand, policy: CapacityPolicy) -> float:
    """Return the capacity that the load needs by the time a start would serve."""
    grown = demand.load + max(0.0, demand.growth) * policy.start_time.total_seconds()
    return grown * policy.headroom


def _kind(item: InstanceOffer | RunningInstance | RefusedStart) -> tuple:
    return (item.availability_zone, item.instance_class, item.reclaimable)


def _permitted(
    offer: InstanceOffer,
    demand: ServiceDemand,
    refused: Sequence[RefusedStart],
    policy: CapacityPolicy,
) -> bool:
    """Return whether an offer is in a wanted zone and not backed off from."""
    if offer.availability_zone not in demand.availability_zones:
        return False
    for refusal in refused:
        doubled = policy.refusal_backoff * 2 ** min(16, max(0, refusal.refusals - 1))
        pause = min(doubled, policy.longest_backoff)
        if _kind(refusal) == _kind(offer) and refusal.age < pause:
            return False
    return True


def _after_loss(zones: dict[str, float]) -> float:
    """Return the capacity left when the zone with the most of it is lost."""
    if len(zones) < 2:
        return sum(zones.values())
    return sum(zones.values()) - max(zones.values())


def _short(
    zones: dict[str, float], needed: float, count: int, demand: ServiceDemand
) -> bool:
    return _after_loss(zones) < needed or count < demand.least_instances


def _rank(
    offer: InstanceOffer, zones: dict[str, float], policy: CapacityPolicy
) -> tuple[bool, float, str]:
    """Order offers: zones with the most capacity last, then by price of capacity."""
    fullest = max(zones.values())
    adds_nothing = len(zones) > 1 and zones[offer.availability_zone] >= fullest > 0
    premium = 1 + policy.reclaim_premium if offer.reclaimable else 1.0
    price = offer.price_per_hour * premium / offer.capacity
    return (adds_nothing, price, offer.availability_zone)


def _start(offer: InstanceOffer, service: str, request_id: str) -> StartInstance:
    return StartInstance(
        request_id,
        service,
        offer.availability_zone,
        offer.instance_class,
        offer.reclaimable,
    )


def _give_back(
    staying: Sequence[RunningInstance],
    zones: dict[str, float],
    capacities: dict[tuple, float],
    offers: Sequence[InstanceOffer],
    needed: float,
    demand: ServiceDemand,
    policy: CapacityPolicy,
) -> tuple[GiveBack, ...]:
    """Return an order for the dearest instance that is not needed, if any."""
    if len(staying) <= demand.least_instances:
        return ()
    prices = {_kind(offer): offer.price_per_hour for offer in offers}
    by_price = sorted(
        staying,
        key=lambda item: (-prices.get(_kind(item), 0.0), item.in_flight, item.name),
    )
    for instance in by_price:
        left = dict(zones)
        left[instance.availability_zone] -= capacities.get(_kind(instance), 0.0)
        if _after_loss(left) >= needed * (1 + policy.give_back_margin):
            return (GiveBack(instance.name),)
    return ()
