"""Measure the time to read and check the operators' configuration, by its size.

Usage::

    python -m bench.texts
"""

import time

from ruamel.yaml import YAML

from sassafrasdale.text.documents import read_document
from sassafrasdale.text.parser import parse_text

ROUNDS = 5
REGIONS = 5
ZONES = tuple(f"r{number % REGIONS}-{number}" for number in range(16))
SIZES = ((3, 5), (10, 100), (40, 500), (100, 2000))


def make_text(services: int, customers: int) -> str:
    """Return a configuration with 16 zones, four pools a service and all fields set."""
    lines = ["deployment: measured", "instance_classes: [gpu-large]"]
    lines.append("availability_zones:")
    for zone in ZONES:
        delays = ", ".join(f"{other}: 20ms" for other in ZONES if other != zone)
        lines.append(f"  {zone}:")
        lines.append(f"    region: {zone.partition('-')[0]}")
        lines.append(f"    one_way_delay: {{{delays}}}")
    lines.append("services:")
    for number in range(services):
        lines.extend(_make_service(number))
    lines.append("customers:")
    for number in range(customers):
        limits = "weight: 4, requests_per_second: 50, max_in_flight: 200"
        lines.append(f"  customer-{number}: {{{limits}}}")
    return "\n".join(lines) + "\n"


def _make_service(number: int) -> list[str]:
    needs = f"service-{number - 1}" if number else ""
    lines = [
        f"  service-{number}:",
        "    kind: model",
        f"    depends_on: [{needs}]",
        "    objective: {latency: 20s, first_token: 500ms, share: 0.95}",
        "    timeout: 60s",
        "    priority: 4",
        "    weights: {latency_cost: 3, recomputed_tokens: 1}",
        "    pools:",
    ]
    for first in range(0, len(ZONES), 4):
        zones = ", ".join(ZONES[first : first + 4])
        lines.append("      - instance_class: gpu-large")
        lines.append(f"        availability_zones: [{zones}]")
        lines.append("        count: 12")
        lines.append("        checks_fencing: true")
        lines.append("        max_in_flight: 16")
        lines.append("        max_waiting: 32")
    return lines


def _min_ms(function) -> float:
    times = []
    for _ in range(ROUNDS):
        start = time.process_time()
        function()
        times.append(time.process_time() - start)
    return min(times) * 1000


def main() -> None:
    """Print processor milliseconds, the minimum of five rounds."""
    language = "C" if "clib" in YAML(typ="safe").Parser.__module__ else "Python"
    print(f"scanner in {language}")
    print("services  customers   bytes  read ms  read and check ms")
    for services, customers in SIZES:
        source = make_text(services, customers)
        read = _min_ms(lambda source=source: read_document(source))
        checked = _min_ms(lambda source=source: parse_text.__wrapped__(source))
        print(
            f"{services:8}  {customers:9}  {len(source):6}  {read:7.1f}  "
            f"{checked:17.1f}"
        )


if __name__ == "__main__":
    main()
