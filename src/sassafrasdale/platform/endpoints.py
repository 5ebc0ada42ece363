"""The platform's list of endpoints, which they keep in its store themselves."""

from pydantic import BaseModel, ConfigDict, ValidationError

from sassafrasdale.gateway.models import Endpoint, EndpointState
from sassafrasdale.platform.exceptions import ValueMalformed
from sassafrasdale.structures import Address

ENDPOINTS_PREFIX = "servers/"


class _Entry(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    service: str
    addr: str
    zone: str
    slots: int = 1
    state: str = "ready"
    # Endpoints that the platform may take back at short notice.
    spot: bool = False


def endpoint_name(key: str) -> str:
    """Return the endpoint's name, which only the key of its entry holds."""
    return key.removeprefix(ENDPOINTS_PREFIX)


def decode_endpoint(key: str, value: bytes) -> Endpoint:
    """Return the endpoint that an entry of the list describes.

    :raises ValueMalformed: if the entry has another form.
    """
    try:
        entry = _Entry.model_validate_json(value)
        address = Address.parse(entry.addr)
    except (ValidationError, ValueError) as error:
        raise ValueMalformed(f"{key}: {error}", field=key) from error
    ready = entry.state == EndpointState.READY
    return Endpoint(
        name=endpoint_name(key),
        service=entry.service,
        address=address,
        availability_zone=entry.zone,
        state=EndpointState.READY if ready else EndpointState.DRAINING,
        slots=entry.slots,
        reclaimable=entry.spot,
    )
