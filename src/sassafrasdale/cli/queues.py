"""The command ``sassafrasdale queues``."""

import json as json_format
from datetime import timedelta
from typing import Annotated

from cyclopts import Parameter
from pydantic import BaseModel, ValidationError
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from sassafrasdale.cli.entries import AsJson
from sassafrasdale.cli.exceptions import NotReachedError, UsageError
from sassafrasdale.cli.exits import Exit
from sassafrasdale.cli.tables import format_table
from sassafrasdale.structures import Address

READ_TIMEOUT = timedelta(seconds=5)

Gateway = Annotated[
    str,
    Parameter(name="--gateway", help="host:port of the metrics of a gateway."),
]


class _Customer(BaseModel):
    customer: str
    waiting: int
    owed: float
    got: float


class _Queue(BaseModel):
    service: str
    waiting: dict[int, int]
    late: int
    oldest_ms: int
    capacity: float
    customers: list[_Customer]


class QueuesModel(BaseModel):
    """What a gateway says of the requests that wait there.

    :param dispatcher: the gateway that queues the requests of its zone.
    """

    gateway: str
    dispatcher: str
    queues: list[_Queue]


def queues(*, gateway: Gateway, json: AsJson = False) -> int:
    """Show which requests wait at a gateway, and what each customer gets."""
    document = _fetch(gateway)
    if json:
        print(json_format.dumps(document.model_dump(), indent=2))
    else:
        print(format_queues(document))
    return Exit.OK


def format_queues(document: QueuesModel) -> str:
    """Return a gateway's queues as text for an operator."""
    title = f"gateway {document.gateway}, dispatcher {document.dispatcher}"
    if not document.queues:
        return f"{title}\n\nqueues: none"
    queued = [
        (
            queue.service,
            sum(queue.waiting.values()),
            " ".join(f"{key}:{count}" for key, count in sorted(queue.waiting.items())),
            queue.late,
            queue.oldest_ms,
            round(queue.capacity, 2),
        )
        for queue in document.queues
    ]
    shares = [
        (
            queue.service,
            part.customer,
            part.waiting,
            _percent(part.owed),
            _percent(part.got),
        )
        for queue in document.queues
        for part in queue.customers
    ]
    return "\n\n".join(
        [
            title,
            format_table(
                ("service", "waiting", "by priority", "late", "oldest ms", "capacity"),
                queued,
            ),
            format_table(("service", "customer", "waiting", "owed %", "got %"), shares),
        ]
    )


def _percent(share: float) -> float:
    return round(100 * share, 1)


def _fetch(gateway: str) -> QueuesModel:
    try:
        address = Address.parse(gateway)
    except ValueError as error:
        raise UsageError(f"--gateway: {error}") from error
    timeout = Timeout(total=READ_TIMEOUT.total_seconds())
    try:
        response = PoolManager().request(
            "GET", f"http://{address}/queues", timeout=timeout, retries=False
        )
        return QueuesModel.model_validate_json(response.data)
    except (HTTPError, ValidationError) as error:
        raise NotReachedError(f"{address}: {error}") from error
