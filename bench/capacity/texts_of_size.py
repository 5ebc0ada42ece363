"""Generates operators' configurations with a given number of services."""

from random import Random

ZONES = ("zone-a", "zone-b", "zone-c")

HEAD = """\
deployment: capacity
instance_classes: [gpu-large, cpu-small]
availability_zones:
  zone-a: {region: north, one_way_delay: 0.5ms, client_delay: 1ms}
  zone-b: {region: north, one_way_delay: 0.5ms, client_delay: 1ms}
  zone-c: {region: north, one_way_delay: 0.5ms, client_delay: 1ms}
customers:
  press: {weight: 1}
services:
  records:
    kind: plain
    objective: {latency: 100ms, share: 0.99}
    timeout: 5s
    priority: 0
    weights: {latency_cost: 3, recomputed_tokens: 0}
    rules:
      - {method: GET, path: /*, idempotent: true}
      - {method: POST, path: /certificates, idempotent: false}
    pools:
      - instance_class: cpu-small
        availability_zones: [zone-a, zone-b, zone-c]
        count: 3
        max_in_flight: 64
        max_waiting: 128
"""

MODEL = """\
  # Owner {owner}, change {change}.
  model-{number}:
    kind: model
    depends_on: [records]
    objective: {{latency: {latency}s, first_token: {first_token}ms, share: 0.{share}}}
    timeout: 60s
    priority: {priority}
    weights: {{latency_cost: {latency_cost}, recomputed_tokens: {recomputed}}}
    pools:
      - instance_class: gpu-large
        availability_zones: [zone-a, zone-b, zone-c]
        count: {replicas}
        checks_fencing: true
        max_in_flight: 64
        max_waiting: 128
"""


def make_text(models: int, *, replicas: int = 6, mark: str = "") -> str:
    """Return a configuration with one plain and ``models`` model services.

    :param replicas: endpoints of each model service.
    :param mark: comment that makes the configuration unique.
    """
    rng = Random(models)
    services = "".join(_model(number, replicas, rng) for number in range(models))
    return f"{HEAD}{services}# {mark}\n"


def _model(number: int, replicas: int, rng: Random) -> str:
    """Return one service; its values vary so that it compresses like a real one."""
    return MODEL.format(
        number=number,
        replicas=replicas,
        owner=f"{rng.getrandbits(48):x}",
        change=f"{rng.getrandbits(48):x}",
        latency=rng.randint(5, 50),
        first_token=rng.randint(300, 1500),
        share=rng.randint(90, 99),
        priority=rng.randint(0, 7),
        latency_cost=rng.randint(1, 9),
        recomputed=rng.randint(1, 9),
    )
