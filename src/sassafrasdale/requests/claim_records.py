"""Records of claims on non-idempotent requests, as the store holds them."""

import json
from base64 import b64encode
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any
from urllib.parse import quote

from pydantic import Base64Bytes, BaseModel, ValidationError

from sassafrasdale.coordination.exceptions import StoredValueMalformed

CLAIMS_PREFIX = "sassafrasdale/claims/"
MAX_STORED_BODY_BYTES = 256 * 1024


class ClaimState(StrEnum):
    """State of the single execution of a request.

    ``CLAIMED``: its holder may run it or has run it. ``ANSWERED``: it ran and the
    response is stored. ``UNKNOWN``: it may have run and no response came.
    ``NOT_RUN``: it never ran and the holder released the claim, so it may be
    claimed again.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Identifies the single execution of a non-idempotent request."""

    service: str
    customer: str
    key: str

    @property
    def path(self) -> str:
        """Key of the claim in the store."""
        parts = (self.service, self.customer, self.key)
        return CLAIMS_PREFIX + "/".join(quote(part, safe="") for part in parts)


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Response of an endpoint, as returned to a retry."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Value of a claim in the store.

    :param claim_id: unique id of the attempt that made the claim.
    :param fingerprint: digest of the request, to detect another one with this key.
    :param holder: entry process that made the attempt.
    :param state: state of the execution.
    :param answer: the response, if ``state`` is answered.
    :param body_dropped: whether the response's body was too large to store.
    """

    claim_id: str
    fingerprint: str
    holder: str
    state: ClaimState
    answer: StoredResponse | None = None
    body_dropped: bool = False

    def with_answer(self, answer: StoredResponse) -> "ClaimRecord":
        """Return the record of an execution whose response is ``answer``."""
        dropped = len(answer.body) > MAX_STORED_BODY_BYTES
        kept = replace(answer, body=b"") if dropped else answer
        return replace(
            self, state=ClaimState.ANSWERED, answer=kept, body_dropped=dropped
        )

    def to_json(self) -> bytes:
        """Return the record as stored."""
        fields: dict[str, Any] = {
            "claim_id": self.claim_id,
            "fingerprint": self.fingerprint,
            "holder": self.holder,
            "state": self.state.value,
        }
        if self.answer is not None:
            fields["answer"] = {
                "status": self.answer.status,
                "headers": self.answer.headers,
                "body": b64encode(self.answer.body).decode("ascii"),
            }
            fields["body_dropped"] = self.body_dropped
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def from_json(cls, value: bytes) -> "ClaimRecord":
        """Parse a stored value.

        :raises StoredValueMalformed: if the value is not a claim record.
        """
        try:
            model = _StoredClaim.model_validate_json(value)
        except ValidationError as error:
            raise StoredValueMalformed(f"not a claim: {error}") from error
        return cls(
            claim_id=model.claim_id,
            fingerprint=model.fingerprint,
            holder=model.holder,
            state=model.state,
            answer=model.answer.to_response() if model.answer else None,
            body_dropped=model.body_dropped,
        )


class _StoredResponseModel(BaseModel):
    status: int
    headers: tuple[tuple[str, str], ...]
    body: Base64Bytes

    def to_response(self) -> StoredResponse:
        return StoredResponse(self.status, self.headers, self.body)


class _StoredClaim(BaseModel):
    """Schema of a stored claim; fields of later versions are ignored."""

    claim_id: str
    fingerprint: str
    holder: str
    state: ClaimState
    answer: _StoredResponseModel | None = None
    body_dropped: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """A granted claim: only its holder may run the request, once.

    :param key: identifies the execution.
    :param record: the stored record.
    :param mod_revision: the store's modification revision of the record.
    """

    key: ClaimKey
    record: ClaimRecord
    mod_revision: int
