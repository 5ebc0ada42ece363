"""Write changed copies of a deployment's site file, to play days on other shapes.

Usage::

    python -m bench.deployments SITE DIRECTORY

Each copy differs from SITE in one way that the program must not depend on: numbers
of zones and instances, cores, memory, links, bounds, customers, load.
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
    """Leave the last availability zone out."""
    gone = site["zones"].pop()["name"]
    _drop_zone(site, gone)


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
    """Make links narrow and zones far apart."""
    for machine in site["machines"]:
        machine["link_mbps"] = 100.0
    site["net"]["in_zone_ms"] = 1.0
    site["net"]["cross_zone_ms"] = 3.0


def short_bounds(site: Site) -> None:
    """Allow less time and slack than usual."""
    site["bounds"]["drain_ms"] = 1200
    site["bounds"]["grace_s"] = 6.0
    site["bounds"]["budget_slack"] = 30.0
    site["bounds"]["quota_slack"] = 60_000.0


def many_customers(site: Site) -> None:
    """Divide the load among many customers that are close to their limits."""
    site["tenants"]["count"] = 14
    site["tenants"]["quota_x"] = 1.3


def heavy_load(site: Site) -> None:
    """Send twice as much."""
    _scale_traffic(site, 2.0)


def light_load(site: Site) -> None:
    """Send a third."""
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


def _drop_zone(part: Any, zone: str) -> None:
    """Drop all entries of lists, however deep, that are in the zone."""
    if isinstance(part, dict):
        for value in part.values():
            _drop_zone(value, zone)
    elif isinstance(part, list):
        part[:] = [item for item in part if not _is_in(item, zone)]
        for item in part:
            _drop_zone(item, zone)


def _is_in(item: Any, zone: str) -> bool:
    return isinstance(item, dict) and zone in (item.get("zone"), item.get("to_zone"))


def _scale_traffic(site: Site, factor: float) -> None:
    for part in (site, *site["day"]):
        for source in part.get("traffic", ()):
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
