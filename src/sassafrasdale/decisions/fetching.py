"""Whether an engine fetches the KV cache of a prompt's prefix from another engine.

Workload: prompts share prefixes of thousands of tokens, and engines come and go. Each
engine that starts has an empty cache and computes every shared prefix once more, which
is a tenth to an eighth of all prefill work. If the link is fast, the cache of another
engine arrives in a twentieth of the time of the prefill. In the model of engines
(``bench/placement``, six seeds, a burst of 1.3 times the usual load) 300,000 tokens are
recomputed on three engines instead of 980,000, and 2.0 of 100 requests of its kind
``report`` are late instead of 3.9.
"""

from dataclasses import dataclass
from datetime import timedelta

# Time until a transfer begins, on an engine without other transfers.
SETUP_TIME = timedelta(milliseconds=3)
# Maximum time of a transfer, as a fraction of the prefill time. Tokens that are
# recomputed delay other prompts on the engine; transferred ones do not.
MAX_PREFILL_RATIO = 0.9


@dataclass(frozen=True, slots=True)
class CacheLink:
    """Link for transferring KV cache between two engines.

    :param token_bytes: cache size of one token.
    :param bits_per_second: bandwidth of the link; 0 if there is none.
    """

    token_bytes: float
    bits_per_second: float


def transfer_time(tokens: int, link: CacheLink) -> timedelta:
    """Return the time to transfer the cache of some tokens."""
    bits = tokens * link.token_bytes * 8
    return SETUP_TIME + timedelta(seconds=bits / link.bits_per_second)


def is_fetch_worthwhile(
    tokens: int, link: CacheLink | None, token_time: timedelta
) -> bool:
    """Return whether fetching some tokens is faster than computing them.

    :param tokens: number of tokens.
    :param link: link to the other engine; None if there is none.
    :param token_time: prefill time per token.
    """
    if link is None or not link.bits_per_second or tokens <= 0:
        return False
    return transfer_time(tokens, link) < tokens * token_time * MAX_PREFILL_RATIO
