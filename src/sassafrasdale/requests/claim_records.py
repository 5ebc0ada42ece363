"""What the store keeps of a non-idempotent request."""

import json
from base64 import b64encode
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any
from urllib.parse import quote

from pydantic import Base64Bytes, BaseModel, ValidationError

from sassafrasdale.coordination.exceptions import StoredValueMalformed

CLAIMS_PREFIX = "sassafrasdale/claims/"
MAX_KEPT_BODY_BYTES = 256 * 1024


class ClaimState(StrEnum):
    """How far the one execution of a request has come.

    ``CLAIMED``: its holder may run it, or has. ``ANSWERED``: it ran and the answer
    is kept. ``UNKNOWN``: it may have run and no answer came. ``NOT_RUN``: it never
    ran and the holder gave it up, so it may be claimed again.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Names the one execution of a non-idempotent request."""

    service: str
    customer: str
    key: str

    @property
    def path(self) -> str:
        """Key of the claim in the store."""
        parts = (self.service, self.customer, self.key)
        return CLAIMS_PREFIX + "/".join(quote(part, safe="") for part in parts)


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An endpoint's answer as a retry gets it."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Value of a claim in the store.

    :param claim_id: id of the attempt that made it; no two attempts share one.
    :param fingerprint: digest of the request, to tell another one with this key.
    :param holder: name of the entry that made the attempt.
    :param state: how far the execution has come.
    :param answer: the answer, if ``state`` is answered.
    :param body_dropped: whether the answer's body was too large to keep.
    """

    claim_id: str
    fingerprint: str
    holder: str
    state: ClaimState
    answer: StoredAnswer | None = None
    body_dropped: bool = False

    def with_answer(self, answer: StoredAnswer) -> "ClaimRecord":
        """Return the record of the execution that ended with ``answer``."""
        dropped = len(answer.body) > MAX_KEPT_BODY_BYTES
        kept = replace(answer, body=b"") if dropped else answer
        return replace(
            self, state=ClaimState.ANSWERED, answer=kept, body_dropped=dropped
        )

    def to_json(self) -> bytes:
        """Return the record as the store keeps it."""
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
        """Return the record that ``value`` holds.

        :raises StoredValueMalformed: if it holds something else.
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
            answer=model.answer.to_answer() if model.answer else None,
            body_dropped=model.body_dropped,
        )


class _StoredAnswerModel(BaseModel):
    status: int
    headers: tuple[tuple[str, str], ...]
    body: Base64Bytes

    def to_answer(self) -> StoredAnswer:
        return StoredAnswer(self.status, self.headers, self.body)


class _StoredClaim(BaseModel):
    """A claim as the store may hold it; fields to come are ignored."""

    claim_id: str
    fingerprint: str
    holder: str
    state: ClaimState
    answer: _StoredAnswerModel | None = None
    body_dropped: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """A granted claim: its holder, and nobody else, may run the request once.

    :param key: names the execution.
    :param record: what the store holds.
    :param mod_revision: revision at which the store holds it.
    """

    key: ClaimKey
    record: ClaimRecord
    mod_revision: int
