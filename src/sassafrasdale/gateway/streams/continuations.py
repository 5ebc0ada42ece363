"""Which version a stream that a caller takes up goes on at."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds
from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.deployment import RequestKind
from sassafrasdale.gateway.admitted_requests import AdmittedRequest
from sassafrasdale.gateway.exceptions import RequestRefused
from sassafrasdale.gateway.streams.lookup import StreamLookup, TooManyLookups
from sassafrasdale.gateway.streams.messages import stream_name
from sassafrasdale.gateway.streams.replication import StreamReplicator

log = Logger("streams")

# Retry-After for a stream whose version nobody knows, or which has no endpoint any
# more: a later attempt gets the same response.
UNRESUMABLE_RETRY_AFTER = timedelta(seconds=60)
# Retry-After while this gateway looks up as many streams as it may.
BUSY_RETRY_AFTER = timedelta(milliseconds=300)


class StreamContinuations:
    """Records which version begins a stream, and finds it when a caller returns.

    :param only_version: returns the version that began any stream of a service; empty
        if that can't be known.
    :param count: counts an event by name and labels, for metrics.
    """

    def __init__(
        self,
        replicator: StreamReplicator,
        lookup: StreamLookup,
        only_version: Callable[[str], str],
        clock: Clock,
        count: Callable[..., None],
    ) -> None:
        self._replicator = replicator
        self._lookup = lookup
        self._only_version = only_version
        self._clock = clock
        self._count = count

    def record_begin(self, admitted: AdmittedRequest, binding: StreamBinding) -> None:
        """Record that the first event of a stream is about to be passed on."""
        if not admitted.route.resumable:
            return
        customer = admitted.customer_name
        name = stream_name(customer, admitted.traits.request_id)
        if name is not None:
            left = admitted.last_return - self._clock.elapsed()
            self._replicator.record_begin(name, binding, left, customer)

    def bind(self, admitted: AdmittedRequest) -> None:
        """Bind a request that takes a stream up, which may change its service.

        :raises RequestRefused: if the stream can't go on.
        """
        traits = admitted.traits
        if admitted.route.kind is not RequestKind.STREAM:
            return
        admitted.traits = replace(traits, is_stream=True)
        if not traits.resumes and not traits.resume_after:
            return
        began_at = self._clock.elapsed()
        binding, source, age = self._find(admitted)
        reason = _reason_against(admitted, binding)
        log.info(
            "stream taken up",
            resumes=traits.resumes or None,
            resume_after=traits.resume_after,
            service=binding.service,
            software=binding.version or None,
            known_by=source or None,
            age_ms=None if age is None else milliseconds(age),
            looked_up_ms=milliseconds(self._clock.elapsed() - began_at),
            why=reason or None,
        )
        if reason:
            self._reject(reason, UNRESUMABLE_RETRY_AFTER)
        self._count("stream taken up")
        admitted.service = binding.service
        admitted.traits = replace(admitted.traits, binding=binding)

    def _find(
        self, admitted: AdmittedRequest
    ) -> tuple[StreamBinding, str, timedelta | None]:
        """Return what binds a stream, who knew it, and for how long."""
        traits = admitted.traits
        name = None
        if traits.resumes != traits.request_id:
            name = stream_name(admitted.customer_name, traits.resumes)
        try:
            found = None if name is None else self._lookup.find(name)
        except TooManyLookups as error:
            self._reject(error.message, BUSY_RETRY_AFTER)
        if found is not None:
            record, source = found
            return record.binding, source, self._clock.elapsed() - record.recorded_at
        # Without a record, a route with several services may have drawn another one.
        version = ""
        if len(admitted.route.services) == 1:
            version = self._only_version(admitted.service)
        source = "only version" if version else ""
        return StreamBinding(admitted.service, version), source, None

    def _reject(self, reason: str, retry_after: timedelta) -> None:
        self._count("stream not resumed", reason=reason)
        raise RequestRefused(503, reason, retry_after=retry_after)


def _reason_against(admitted: AdmittedRequest, binding: StreamBinding) -> str:
    """Return why a stream can't go on; empty if it may."""
    if not binding.version:
        return "version of the stream not known"
    services = {each.service for each in admitted.route.services if each.weight > 0}
    if binding.service not in services:
        return "route no longer leads to the stream's service"
    return ""
