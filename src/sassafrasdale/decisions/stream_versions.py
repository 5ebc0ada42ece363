"""Which endpoints a stream that has begun may go on at.

What two software versions of a service write doesn't fit together, so a stream goes on
only at the version that began it.
"""

from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

# Retry-After for a stream whose version nobody knows, or which has no endpoint any
# more: a later attempt most likely gets the same response.
UNRESUMABLE_RETRY_AFTER = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class StreamBinding:
    """What the first event of a stream binds it to.

    :param version: version of the endpoint's software; empty if it is not known, which
        equals no version.
    """

    service: str
    version: str


def may_continue(binding: StreamBinding, service: str, version: str) -> bool:
    """Return whether a stream may go on at an endpoint.

    :param service: the endpoint's service.
    :param version: version of its software; empty if it is not known.
    """
    return bool(version) and binding == StreamBinding(service, version)


def merge_bindings(one: StreamBinding, other: StreamBinding) -> StreamBinding:
    """Return what is known of a stream that two sources have a binding for."""
    return one if one == other else StreamBinding(one.service, "")


def only_version(versions: Collection[str]) -> str:
    """Return the version that began a stream if these are all that ever began one.

    :returns: an empty version if that can't be known.
    """
    return next(iter(versions)) if len(versions) == 1 else ""
