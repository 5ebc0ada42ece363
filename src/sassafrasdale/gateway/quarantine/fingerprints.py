"""Features of requests: the fingerprint of the whole, and the parts of its prompt."""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from sassafrasdale.decisions.strikes import PART_PREFIX
from sassafrasdale.deployment import PromptPart
from sassafrasdale.http.messages import Request

# Bytes of a digest; long enough that callers, who choose the bodies, can't find a
# collision by trial.
DIGEST_BYTES = 12
# A longer id of a part is replaced by a digest of it.
MAX_PART_ID = 32


@dataclass(frozen=True, slots=True)
class RequestFeatures:
    """What a crash of the endpoint that runs a request may be blamed on.

    :param fingerprint: of the whole request.
    :param parts: features that are parts of its prompt.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """All features, first those that many requests share."""
        return (*self.parts, self.fingerprint)


def part_features(parts: Sequence[PromptPart]) -> tuple[str, ...]:
    """Return the features of a prompt's parts, each once."""
    return tuple(dict.fromkeys(_part_feature(part.name) for part in parts))


def shared_part_features(parts: Sequence[PromptPart]) -> tuple[str, ...]:
    """Return the features of the parts that other requests may have as well."""
    return part_features(parts[:-1])


def _part_feature(name: str) -> str:
    if len(name) <= MAX_PART_ID and name.isalnum():
        return PART_PREFIX + name
    digest = blake2b(name.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES)
    return f"{PART_PREFIX}x-{digest.hexdigest()}"


def fingerprint_of(request: Request, customer: str) -> str:
    """Return a digest of the customer, the method, host and path, and the body.

    Other headers don't count: request ids, deadlines and the like differ between
    retries.

    :param customer: name of the customer; empty for a public route.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (customer, request.method, request.header("host"), request.target):
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(b"%d:" % len(encoded))
        digest.update(encoded)
    digest.update(request.body)
    return digest.hexdigest()
