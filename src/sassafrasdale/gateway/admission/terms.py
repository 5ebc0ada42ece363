"""What decides on how long a request may wait, and ahead of which others."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class AdmissionTerms:
    """Terms on which a request waits for an endpoint.

    :param customer: name of its customer; empty on a public route.
    :param priority: 0 is the most urgent.
    :param arrived_at: elapsed time of its caller's first attempt, as estimated.
    :param objective_at: elapsed time by which its response should begin.
    :param deadline: elapsed time at which its caller leaves.
    """

    customer: str
    priority: int
    arrived_at: timedelta
    objective_at: timedelta
    deadline: timedelta
