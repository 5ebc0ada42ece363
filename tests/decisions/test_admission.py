"""Tests of admission control."""

from datetime import timedelta
from random import Random

from sassafrasdale.decisions.admission import (
    Admission,
    Admit,
    CustomerShare,
    Shed,
    ShedReason,
    Ticket,
    Wait,
)
from sassafrasdale.decisions.limits import ConcurrencyLimit, LimitSettings

NOW = timedelta()
SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
CUSTOMERS = {"large": CustomerShare(), "small": CustomerShare()}


def make_admission(capacity: int = 1, customers=None) -> Admission:
    limit = ConcurrencyLimit(capacity, 1, LimitSettings(borrow=1.0))
    return Admission(limit, Random(1), customers or CUSTOMERS)


def serve(admission: Admission, ticket: Ticket, at: timedelta) -> Ticket | None:
    """Finish a request and return the one that is admitted next."""
    admission.finish(ticket, at, True, 100 * MILLISECOND)
    return admission.next_admitted(at)


def test_admits_up_to_the_limit_then_queues():
    admission = make_admission()
    first = admission.offer("large", 3, NOW, 10 * SECOND)
    second = admission.offer("large", 3, NOW, 10 * SECOND)
    assert isinstance(first, Admit)
    assert isinstance(second, Wait)
    assert admission.next_admitted(NOW) is None
    assert serve(admission, first.ticket, SECOND) == second.ticket


def test_sheds_a_new_request_that_cannot_meet_its_deadline():
    admission = make_admission()
    admission.offer("large", 3, NOW, 10 * SECOND)
    shed = admission.offer("large", 3, NOW, 50 * MILLISECOND)
    assert isinstance(shed, Shed)
    assert shed.reason is ShedReason.DEADLINE
    assert shed.retry_after > timedelta()


def test_expires_requests_before_a_deadline_they_cannot_meet():
    """Guards against requests that are shed only once their deadline has passed.

    The queue checked only the deadline, not the time that the response needs, so a
    request behind a slow one left its caller no time to retry elsewhere.
    """
    admission = make_admission()
    admission.offer("large", 3, NOW, 10 * SECOND)
    waiting = admission.offer("large", 3, NOW, SECOND)
    assert admission.expire(100 * MILLISECOND) == ()
    (shed,) = admission.expire(950 * MILLISECOND)
    assert shed.ticket == waiting.ticket
    assert admission.waiting == 0


def test_large_customer_does_not_starve_a_small_one():
    """Guards against timeouts of a small customer while a large one floods a service.

    The large customer queues forty requests before the small one sends its first. In
    order of arrival the small one would be served last.
    """
    admission = make_admission(capacity=16)
    running = [admission.offer("large", 0, NOW, 60 * SECOND) for _ in range(56)]
    small = admission.offer("small", 7, NOW, 60 * SECOND)
    assert isinstance(small, Wait)
    assert serve(admission, running[0].ticket, SECOND) == small.ticket


def test_busy_service_is_divided_by_weight():
    customers = {"large": CustomerShare(weight=3.0), "small": CustomerShare()}
    admission = make_admission(customers=customers)
    current = admission.offer("large", 3, NOW, 60 * SECOND).ticket
    served = []
    for step in range(1, 41):
        at = step * 100 * MILLISECOND
        admission.offer("large", 3, at, 60 * SECOND)
        admission.offer("small", 3, at, 60 * SECOND)
        admission.expire(at)
        current = serve(admission, current, at)
        served.append(current.customer)
    assert 29 <= served.count("large") <= 31


def test_urgent_request_of_a_customer_goes_first():
    admission = make_admission()
    current = admission.offer("large", 3, NOW, 60 * SECOND).ticket
    admission.offer("large", 5, NOW, 60 * SECOND)
    urgent = admission.offer("large", 1, NOW, 60 * SECOND)
    assert serve(admission, current, SECOND) == urgent.ticket


def test_full_queue_sheds_the_least_urgent_of_the_longest_queue():
    admission = make_admission()
    admission.offer("large", 3, NOW, 60 * SECOND)
    queued = [admission.offer("large", 5, NOW, 60 * SECOND) for _ in range(4)]
    assert all(isinstance(wait, Wait) for wait in queued)
    assert isinstance(admission.offer("small", 5, NOW, 60 * SECOND), Wait)
    (shed,) = admission.expire(NOW)
    assert shed.ticket == queued[-1].ticket
    assert shed.reason is ShedReason.QUEUE_FULL


def test_refused_request_goes_first_but_waits_for_a_success():
    """Guards against failures of urgent requests under overload.

    A request that its endpoint refused to start was requeued behind later ones, while
    every entry immediately retried the full endpoints.
    """
    admission = make_admission(capacity=4)
    running = [admission.offer("large", 3, NOW, 60 * SECOND) for _ in range(4)]
    later = admission.offer("large", 3, NOW, 60 * SECOND)
    assert isinstance(admission.refuse(running[0].ticket, NOW), Wait)
    assert admission.next_admitted(NOW) is None
    assert admission.limit < 4
    assert serve(admission, running[1].ticket, SECOND) is not None
    assert admission.in_flight == 3
    assert later.ticket.number != running[0].ticket.number


def test_retry_after_times_are_spread():
    """Guards against synchronized retries after a burst.

    With the same retry-after time for all, the callers retried together, were shed
    again and gave up, while the service was idle in between.
    """
    admission = make_admission()
    admission.offer("large", 3, NOW, 10 * SECOND)
    times = sorted(
        admission.offer("large", 3, NOW, MILLISECOND).retry_after for _ in range(100)
    )
    assert times[75] > 2 * times[25]


def test_unknown_customers_share_one_place_in_the_queue():
    """Guards against a caller that gains a larger share with invented customer names.

    Each unknown name was treated as a customer with a share of its own.
    """
    admission = make_admission()
    current = admission.offer("small", 3, NOW, 60 * SECOND).ticket
    for number in range(2):
        admission.offer(f"made-up-{number}", 0, NOW, 60 * SECOND)
        admission.offer("small", 3, NOW, 60 * SECOND)
    served = []
    for step in range(4):
        current = serve(admission, current, step * SECOND / 10)
        served.append(current.customer)
    assert served.count("small") == 2


def test_rate_limit_applies_before_the_queue():
    customers = {"small": CustomerShare(requests_per_second=0.2)}
    admission = make_admission(capacity=9, customers=customers)
    assert isinstance(admission.offer("small", 3, NOW, SECOND), Admit)
    shed = admission.offer("small", 3, NOW, SECOND)
    assert shed.reason is ShedReason.RATE_LIMIT
    assert shed.retry_after == 5 * SECOND


def test_in_flight_limit_affects_only_its_customer():
    customers = {"large": CustomerShare(max_in_flight=1), "small": CustomerShare()}
    admission = make_admission(capacity=9, customers=customers)
    admission.offer("large", 3, NOW, 10 * SECOND)
    assert isinstance(admission.offer("large", 3, NOW, 10 * SECOND), Wait)
    admission.offer("small", 3, NOW, 10 * SECOND)
    assert admission.next_admitted(NOW).customer == "small"
    assert admission.next_admitted(NOW) is None


def test_cancel_frees_the_slot():
    admission = make_admission()
    first = admission.offer("large", 3, NOW, 10 * SECOND)
    second = admission.offer("large", 3, NOW, 10 * SECOND)
    admission.cancel(second.ticket)
    admission.cancel(first.ticket)
    assert (admission.waiting, admission.in_flight) == (0, 0)


def test_queueing_time_is_not_counted_as_latency():
    """Guards against shed requests that had ample time.

    Queueing time was included in the latency, so that a short queue made later requests
    appear unable to meet their deadlines.
    """
    admission = make_admission()
    current = admission.offer("large", 3, NOW, 60 * SECOND).ticket
    for step in range(1, 30):
        at = step * 10 * MILLISECOND
        admission.offer("large", 3, at, 60 * SECOND)
        admission.finish(current, at, True, 50 * SECOND)
        current = admission.next_admitted(at)
    assert isinstance(admission.offer("large", 3, SECOND, SECOND), Wait)


def test_cancelled_request_is_not_shed():
    """Guards against answering a request that its caller has already cancelled.

    The request had been evicted from a full queue and not yet been reported.
    """
    admission = make_admission()
    admission.offer("large", 3, NOW, 60 * SECOND)
    queued = [admission.offer("large", 5, NOW, 60 * SECOND) for _ in range(4)]
    admission.offer("small", 5, NOW, 60 * SECOND)
    admission.cancel(queued[-1].ticket)
    assert admission.expire(NOW) == ()
