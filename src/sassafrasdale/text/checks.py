"""Checks across the fields of a configuration.

They read the plain data and skip values of a wrong type, which the models report,
so that one pass finds both kinds of fault.
"""

from collections import Counter
from collections.abc import Collection, Iterator
from graphlib import CycleError, TopologicalSorter
from typing import Any

from sassafrasdale.text.documents import Document, Path
from sassafrasdale.text.durations import parse_duration
from sassafrasdale.text.exceptions import Fault
from sassafrasdale.text.models import MAX_RULES
from sassafrasdale.text.structures import ANY_METHOD, compile_path

MAX_CYCLES = 10


def check_references(document: Document) -> Iterator[Fault]:
    """Yield all faults that concern several fields."""
    data = document.data
    zones = _mapping(data, "availability_zones")
    services = _mapping(data, "services")
    classes = [name for _, name in _names(data, "instance_classes", ())]
    yield from _check_duplicates(document, data, "instance_classes", ())
    yield from _check_delays(document, zones)
    for name, service in services.items():
        path = ("services", name)
        yield from _check_dependencies(document, service, path, services)
        yield from _check_pools(document, service, path, zones, classes)
        yield from _check_durations(document, service, path)
        yield from _check_weights(document, service, path)
        yield from _check_rules(document, service, path)
    yield from _check_cycles(document, services)


def _mapping(data: Any, key: str) -> dict[str, Any]:
    value = data.get(key) if isinstance(data, dict) else None
    return value if isinstance(value, dict) else {}


def _sequence(data: Any, key: str) -> list[Any]:
    value = data.get(key) if isinstance(data, dict) else None
    return value if isinstance(value, list) else []


def _names(data: Any, key: str, parent: Path) -> Iterator[tuple[Path, str]]:
    for index, name in enumerate(_sequence(data, key)):
        if isinstance(name, str):
            yield (*parent, key, index), name


def _check_duplicates(
    document: Document, data: Any, key: str, parent: Path
) -> Iterator[Fault]:
    seen: Counter[str] = Counter()
    for path, name in _names(data, key, parent):
        seen[name] += 1
        if seen[name] == 2:
            yield document.fault(path, f"{name} stands twice in {key}")


def _check_reference(
    document: Document, path: Path, kind: str, name: str, known: Collection[str]
) -> Iterator[Fault]:
    if name not in known:
        hint = document.hint(name, known)
        yield document.fault(path, f"there is no {kind} {name}{hint}")


def _check_delays(document: Document, zones: dict[str, Any]) -> Iterator[Fault]:
    for name, zone in zones.items():
        path = ("availability_zones", name, "one_way_delay")
        delays = _mapping(zone, "one_way_delay")
        for other in delays:
            inner = (*path, other)
            if other == name:
                yield document.fault(inner, "a zone has no delay to itself")
                continue
            yield from _check_reference(
                document, inner, "availability zone", other, zones
            )
        missing = [other for other in zones if other not in delays and other != name]
        if delays and missing:
            yield document.fault(path, f"names no delay to {', '.join(missing)}")


def _check_dependencies(
    document: Document, service: Any, parent: Path, services: dict[str, Any]
) -> Iterator[Fault]:
    yield from _check_duplicates(document, service, "depends_on", parent)
    for path, name in _names(service, "depends_on", parent):
        yield from _check_reference(document, path, "service", name, services)


def _check_pools(
    document: Document,
    service: Any,
    parent: Path,
    zones: dict[str, Any],
    classes: list[str],
) -> Iterator[Fault]:
    for index, pool in enumerate(_sequence(service, "pools")):
        path = (*parent, "pools", index)
        yield from _check_duplicates(document, pool, "availability_zones", path)
        for inner, name in _names(pool, "availability_zones", path):
            yield from _check_reference(
                document, inner, "availability zone", name, zones
            )
        instance_class = pool.get("instance_class") if isinstance(pool, dict) else None
        if isinstance(instance_class, str):
            inner = (*path, "instance_class")
            yield from _check_reference(
                document, inner, "instance class", instance_class, classes
            )


def _check_durations(document: Document, service: Any, parent: Path) -> Iterator[Fault]:
    objective = _mapping(service, "objective")
    latency = _duration(objective, "latency")
    first_token = _duration(objective, "first_token")
    timeout = _duration(service, "timeout")
    if latency and first_token and first_token > latency:
        path = (*parent, "objective", "first_token")
        yield document.fault(path, "must be at most the objective's latency")
    if latency and timeout and timeout < latency:
        path = (*parent, "timeout")
        yield document.fault(path, "must be at least the objective's latency")
    if isinstance(service, dict) and service.get("kind") == "plain" and first_token:
        path = (*parent, "objective", "first_token")
        yield document.fault(path, "is for services of kind model")


def _check_weights(document: Document, service: Any, parent: Path) -> Iterator[Fault]:
    weights = _mapping(service, "weights")
    if weights.get("latency_cost") == weights.get("recomputed_tokens") == 0:
        yield document.fault((*parent, "weights"), "one of the two must be above 0")


def _check_rules(document: Document, service: Any, parent: Path) -> Iterator[Fault]:
    # A rule after a more general one would silently have no effect; if it is the one
    # that forbids retries, calls would run twice.
    earlier: list[tuple[int, str, str]] = []
    for index, rule in enumerate(_sequence(service, "rules")[:MAX_RULES]):
        match rule:
            case {"method": str(method), "path": str(path)}:
                pass
            case _:
                continue
        for number, wider_method, wider_path in earlier:
            if wider_method in (ANY_METHOD, method) and compile_path(wider_path).match(
                path
            ):
                message = f"is never reached, as rules[{number}] comes first"
                yield document.fault((*parent, "rules", index), message)
                break
        earlier.append((index, method, path))


def _duration(data: Any, key: str) -> Any:
    value = data.get(key) if isinstance(data, dict) else None
    try:
        return parse_duration(value)
    except ValueError:
        return None


def _check_cycles(document: Document, services: dict[str, Any]) -> Iterator[Fault]:
    graph = {
        name: [other for _, other in _names(service, "depends_on", ())]
        for name, service in services.items()
    }
    for cycle in _cycles(graph):
        chain = " -> ".join((*cycle, cycle[0]))
        path = ("services", cycle[0], "depends_on")
        yield document.fault(path, f"depends on itself: {chain}")


def _cycles(graph: dict[str, list[str]]) -> Iterator[list[str]]:
    """Yield cycles that share no service, at most ``MAX_CYCLES``.

    The number of cycles grows exponentially among services that all depend on each
    other, so the services of each cycle found are removed from the search.
    """
    edges = dict(graph)
    for _ in range(MAX_CYCLES):
        cycle = _find_cycle(edges)
        if not cycle:
            return
        yield cycle
        for name in cycle:
            del edges[name]


def _find_cycle(edges: dict[str, list[str]]) -> list[str]:
    try:
        TopologicalSorter(edges).prepare()
    except CycleError as error:
        # graphlib lists the nodes against the direction of the dependency, and
        # the first one twice.
        return error.args[1][:0:-1]
    return []
