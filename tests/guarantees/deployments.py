"""Configuration texts of small deployments for the tests."""

from collections.abc import Iterable

ZONES = ("zone-a", "zone-b", "zone-c")


def deployment(name: str, services: Iterable[str], zones: Iterable[str] = ZONES) -> str:
    """Return the configuration text of a deployment with one customer.

    :param services: sections of the text, from :func:`model` and :func:`plain`.
    """
    zone_lines = "".join(
        f"  {zone}: {{region: north, one_way_delay: 1ms, client_delay: 1ms}}\n"
        for zone in zones
    )
    return (
        f"deployment: {name}\n"
        "instance_classes: [cpu-small]\n"
        f"availability_zones:\n{zone_lines}"
        f"services:\n{''.join(services)}"
        "customers:\n  cube-labs: {weight: 4}\n"
    )


def model(name: str, *, checks_fencing: bool = False) -> str:
    """Return the section of a model service with one engine."""
    fencing = "        checks_fencing: true\n" if checks_fencing else ""
    return f"""\
  {name}:
    kind: model
    objective: {{latency: 8s, first_token: 500ms, share: 0.95}}
    timeout: 30s
    priority: 4
    weights: {{latency_cost: 3, recomputed_tokens: 1}}
    pools:
      - instance_class: cpu-small
        availability_zones: [zone-a]
        count: 1
{fencing}        max_in_flight: 16
        max_waiting: 32
"""


def plain(
    name: str, *, count: int = 1, timeout: str = "2s", idempotent_gets: bool = False
) -> str:
    """Return the section of a plain service."""
    rules = "    rules:\n      - {method: GET, path: /*, idempotent: true}\n"
    return f"""\
  {name}:
    kind: plain
    objective: {{latency: 100ms, share: 0.99}}
    timeout: {timeout}
    priority: 0
    weights: {{latency_cost: 3, recomputed_tokens: 0}}
{rules if idempotent_gets else ""}    pools:
      - instance_class: cpu-small
        availability_zones: [zone-a]
        count: {count}
        max_in_flight: 64
        max_waiting: 128
"""
