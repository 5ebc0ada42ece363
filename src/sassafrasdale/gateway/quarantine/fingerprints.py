"""Fingerprints that identify a caller's retries as the same request."""

from hashlib import blake2b

from sassafrasdale.http.messages import Request

# Bytes of a digest; long enough that callers, who choose the bodies, can't find a
# collision by trial.
DIGEST_BYTES = 12


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
