"""Rollout orders of the operators and their statuses in the platform's store."""

from datetime import timedelta
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdale.decisions.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from sassafrasdale.platform.exceptions import ValueMalformed

ORDERS_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
# A longer duration is taken for a mistake of the operator.
MAX_DURATION = timedelta(days=7)

_STATES = {
    "running": RolloutState.RUNNING,
    "complete": RolloutState.COMPLETE,
    "rolled_back": RolloutState.ROLLED_BACK,
}
_STATE_NAMES = {state: name for name, state in _STATES.items()}


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _Order(_Model):
    service: str = Field(min_length=1)
    target: str = Field(min_length=1)
    over_s: float = Field(alias="overS", gt=0, le=MAX_DURATION.total_seconds())


class _Status(_Model):
    state: Literal["running", "complete", "rolled_back"]
    target: str


def status_key(service: str) -> str:
    """Return the key of the rollout status of a service."""
    return STATUS_PREFIX + service


def order_key(service: str) -> str:
    """Return the key of the rollout order for a service."""
    return ORDERS_PREFIX + service


def ordered_service(key: str) -> str:
    """Return the service in the key of a rollout order."""
    return key.removeprefix(ORDERS_PREFIX)


def decode_order(key: str, value: bytes) -> RolloutOrder:
    """Return the order in a stored value.

    :raises ValueMalformed: if it is malformed, or is for another service.
    """
    try:
        order = _Order.model_validate_json(value)
    except ValidationError as error:
        raise ValueMalformed(f"{key}: {error}", field=key) from error
    if order.service != ordered_service(key):
        raise ValueMalformed(f"{key}: names {order.service}", field="service")
    return RolloutOrder(order.service, order.target, timedelta(seconds=order.over_s))


def decode_status(key: str, value: bytes) -> RolloutStatus:
    """Return the status in a stored value.

    :raises ValueMalformed: if it is malformed.
    """
    try:
        status = _Status.model_validate_json(value)
    except ValidationError as error:
        raise ValueMalformed(f"{key}: {error}", field=key) from error
    service = key.removeprefix(STATUS_PREFIX)
    return RolloutStatus(service, status.target, _STATES[status.state])


def encode_status(status: RolloutStatus) -> bytes:
    """Return the stored value for a status."""
    document = _Status(state=_STATE_NAMES[status.state], target=status.target)
    return document.model_dump_json().encode()
