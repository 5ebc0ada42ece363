"""Write changed copies of a deployment's site file, to run days on other deployments.

Usage::

    python -m bench.deployments SITE DIRECTORY

Each copy changes one property of SITE that the program must not depend on: number of
zones or instances, cores, memory, links, bounds, customers, load.
"""

import sys
import tomllib
from collections.abc import Callable
from copy import deepcopy
from pathlib import Path
from typing import Any

import tomli_w

Site = dict[str, Any]


def two_zones(site: Site) -> None:
    """Remove the last availability zone."""
    removed = site["zones"].pop()["name"]
    _remove_zone(site, removed)


def one_instance_a_zone(site: Site) -> None:
    """Run one gateway in each availability zone."""
    for machine in site["machines"]:
        machine["count"] = 1


def twelve_instances(site: Site) -> None:
    """Run four gateways in each availability zone."""
    for machine in site["machines"]:
        machine["count"] = 4


def one_core(site: Site) -> None:
    """Give each gateway one core."""
    for machine in site["machines"]:
        machine["cores"] = 1


def little_memory(site: Site) -> None:
    """Give each gateway half of the memory."""
    for machine in site["machines"]:
        machine["memory_mb"] //= 2


def slow_links(site: Site) -> None:
    """Reduce the links' bandwidth and increase the delays."""
    for machine in site["machines"]:
        machine["link_mbps"] = 100.0
    site["net"]["in_zone_ms"] = 1.0
    site["net"]["cross_zone_ms"] = 3.0


def short_bounds(site: Site) -> None:
    """Reduce the allowed times and slack."""
    site["bounds"]["drain_ms"] = 1200
    site["bounds"]["grace_s"] = 6.0
    site["bounds"]["budget_slack"] = 30.0
    site["bounds"]["quota_slack"] = 60_000.0


def many_customers(site: Site) -> None:
    """Divide the load among many customers, each close to its limit."""
    site["tenants"]["count"] = 14
    site["tenants"]["quota_x"] = 1.3


def heavy_load(site: Site) -> None:
    """Double the load."""
    _scale_traffic(site, 2.0)


def light_load(site: Site) -> None:
    """Reduce the load to a third."""
    _scale_traffic(site, 0.33)


CHANGES: tuple[Callable[[Site], None], ...] = (
    two_zones,
    one_instance_a_zone,
    twelve_instances,
    one_core,
    little_memory,
    slow_links,
    short_bounds,
    many_customers,
    heavy_load,
    light_load,
)


def _remove_zone(node: Any, zone: str) -> None:
    """Remove all list items that are in the zone, at any depth."""
    if isinstance(node, dict):
        for value in node.values():
            _remove_zone(value, zone)
    elif isinstance(node, list):
        node[:] = [item for item in node if not _is_in(item, zone)]
        for item in node:
            _remove_zone(item, zone)


def _is_in(item: Any, zone: str) -> bool:
    return isinstance(item, dict) and zone in (item.get("zone"), item.get("to_zone"))


def _scale_traffic(site: Site, factor: float) -> None:
    for node in (site, *site["day"]):
        for source in node.get("traffic", ()):
            source["per_s"] = round(source["per_s"] * factor, 2)


def write_all(path: Path, directory: Path) -> list[Path]:
    """Write a copy for each change and return the paths."""
    original = tomllib.loads(path.read_text(encoding="utf-8"))
    original["wire"] = str((path.parent / original["wire"]).resolve())
    directory.mkdir(parents=True, exist_ok=True)
    written = []
    for change in CHANGES:
        site = deepcopy(original)
        change(site)
        name = change.__name__.replace("_", "-")
        site["name"] = f"{site['name']}-{name}"
        target = directory / f"{name}.toml"
        target.write_text(tomli_w.dumps(site), encoding="utf-8")
        written.append(target)
    return written


if __name__ == "__main__":
    for changed in write_all(Path(sys.argv[1]), Path(sys.argv[2])):
        print(changed)
