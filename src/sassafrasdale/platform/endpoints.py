"""Decoder of endpoint registrations in the platform's store."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdale.deployment import Endpoint, EndpointState
from sassafrasdale.platform.exceptions import ValueMalformed
from sassafrasdale.structures import Address

ENDPOINTS_PREFIX = "servers/"
# Far above the slots of any endpoint; a larger value comes from another writer.
MAX_SLOTS = 100_000


class _Registration(BaseModel):
    """Registration of an endpoint.

    Other programs may write below the prefix, too. Numbers as text, an unknown state
    and values out of range are rejected: no request may be sent to such an address.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    service: str = Field(min_length=1)
    addr: str
    zone: str = Field(min_length=1)
    slots: int = Field(1, ge=1, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    # Whether the platform may reclaim the endpoint at short notice.
    spot: bool = False
    # Start time in milliseconds since 1970; distinguishes restarts under one name.
    born: int | None = Field(None, ge=0)
    version: str = ""


def endpoint_name(key: str) -> str:
    """Return the name of an endpoint from the key of its registration."""
    return key.removeprefix(ENDPOINTS_PREFIX)


def decode_endpoint(key: str, value: bytes) -> Endpoint:
    """Return the endpoint that a registration describes.

    :raises ValueMalformed: if the registration is malformed.
    """
    try:
        registration = _Registration.model_validate_json(value)
        address = Address.parse(registration.addr)
    except (ValidationError, ValueError) as error:
        raise ValueMalformed(f"{key}: {error}", field=key) from error
    return Endpoint(
        name=endpoint_name(key),
        service=registration.service,
        address=address,
        availability_zone=registration.zone,
        state=EndpointState(registration.state),
        slots=registration.slots,
        reclaimable=registration.spot,
        born=registration.born,
        version=registration.version,
    )
