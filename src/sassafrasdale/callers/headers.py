"""Request headers for the customer, deadline, priority and idempotency key."""

import random
import re
from datetime import timedelta
from uuid import UUID

from sassafrasdale.callers.exceptions import CallerError
from sassafrasdale.callers.messages import HttpRequest
from sassafrasdale.clock import Clock
from sassafrasdale.requests.structures import Call
from sassafrasdale.text.structures import Service, Text

MAX_TIMEOUT = timedelta(minutes=30)
_ID = re.compile(r"[A-Za-z0-9._:\-]{1,128}")
_URGENCY = re.compile(r"(?:^|[,\s])u=(-?\d+)")


def read_call(
    request: HttpRequest,
    text: Text,
    service: Service,
    *,
    idempotent: bool,
    clock: Clock,
    rng: random.Random,
) -> Call:
    """Return the call that the headers of a request describe.

    :param idempotent: whether the request is idempotent by the service's rules.
    :raises CallerError: a header is missing or invalid.
    """
    key = request.header("Idempotency-Key")
    if key is not None:
        key = _identifier(key.strip('"'), "Idempotency-Key")
    if key is None and not idempotent:
        raise CallerError(
            "this request is non-idempotent and needs an Idempotency-Key",
            field="Idempotency-Key",
        )
    return Call(
        request_id=_request_id(request, rng),
        customer=read_customer(request, text),
        service=service.name,
        deadline=clock.elapsed() + _timeout(request, service),
        priority=_priority(request, service),
        idempotency_key=key or "",
    )


def read_customer(request: HttpRequest, text: Text) -> str:
    """Return the name of the calling customer.

    :raises CallerError: it is missing or not in the configuration.
    """
    customer = request.header("X-Customer")
    if not customer:
        raise CallerError("X-Customer is missing", field="X-Customer")
    if customer not in text.customers:
        raise CallerError(
            f"customer {customer[:128]!r} is not known", field="X-Customer", status=403
        )
    return customer


def _request_id(request: HttpRequest, rng: random.Random) -> str:
    value = request.header("X-Request-Id")
    if value is None:
        return str(UUID(int=rng.getrandbits(128), version=4))
    return _identifier(value, "X-Request-Id")


def _identifier(value: str, field: str) -> str:
    if not _ID.fullmatch(value):
        raise CallerError(
            f"{field} must be 1 to 128 characters of A-Z a-z 0-9 . _ : -", field=field
        )
    return value


def _timeout(request: HttpRequest, service: Service) -> timedelta:
    value = request.header("X-Timeout-Ms")
    if value is None:
        return service.timeout
    if not value.isdecimal() or not value.isascii() or int(value[:12]) == 0:
        raise CallerError(
            "X-Timeout-Ms must be a whole number of milliseconds above 0",
            field="X-Timeout-Ms",
        )
    return min(timedelta(milliseconds=int(value[:12])), MAX_TIMEOUT)


def _priority(request: HttpRequest, service: Service) -> int:
    value = request.header("Priority")
    if value is None:
        return service.priority
    urgency = _URGENCY.search(value)
    if urgency is None:
        return service.priority
    level = int(urgency.group(1))
    if not 0 <= level <= 7:
        raise CallerError("Priority: u must be 0 to 7", field="Priority")
    return level
