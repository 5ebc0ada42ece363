"""Which version a stream that a caller takes up goes on at."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds, optional_milliseconds
from sassafrasdale.decisions.stream_versions import (
    UNRESUMABLE_RETRY_AFTER,
    StreamBinding,
)
from sassafrasdale.gateway.admitted_requests import AdmittedRequest
from sassafrasdale.gateway.exceptions import RequestRefused
from sassafrasdale.gateway.streams.lookup import (
    LookupResult,
    StreamLookup,
    TooManyLookups,
)
from sassafrasdale.gateway.streams.messages import stream_name
from sassafrasdale.gateway.streams.replication import StreamReplicator

log = Logger("streams")

# Retry-After where another gateway may yet know the version.
RETRY_AFTER = timedelta(milliseconds=300)


@dataclass(frozen=True, slots=True)
class _Found:
    """What binds a stream.

    :param source: who knew it.
    :param age: time for which it has been known here.
    :param is_final: whether a later attempt would find the same.
    """

    binding: StreamBinding
    source: str = ""
    age: timedelta | None = None
    is_final: bool = True


class StreamContinuations:
    """Records which version begins a stream, and finds it when a caller returns.

    :param only_version: returns the version that began any stream of a service; empty
        if there were several, None if that can't be found out now.
    :param count: counts an event by name and labels, for metrics.
    """

    def __init__(
        self,
        replicator: StreamReplicator,
        lookup: StreamLookup,
        only_version: Callable[[str], str | None],
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
        if not traits.is_stream or not (traits.resumes or traits.resume_after):
            return
        began_at = self._clock.elapsed()
        found = self._find(admitted)
        binding = found.binding
        reason = _reason_against(admitted, binding)
        log.info(
            "stream taken up",
            resumes=traits.resumes or None,
            resume_after=traits.resume_after,
            service=binding.service,
            software=binding.version or None,
            known_by=found.source or None,
            age_ms=optional_milliseconds(found.age),
            looked_up_ms=milliseconds(self._clock.elapsed() - began_at),
            why=reason or None,
        )
        if reason:
            retry_after = UNRESUMABLE_RETRY_AFTER if found.is_final else RETRY_AFTER
            self._reject(reason, retry_after)
        self._count("stream taken up")
        admitted.service = binding.service
        admitted.traits = replace(traits, binding=binding)

    def _find(self, admitted: AdmittedRequest) -> _Found:
        result = self._look_up(admitted)
        if result.record is not None:
            record = result.record
            age = self._clock.elapsed() - record.recorded_at
            return _Found(record.binding, result.source, age)
        # Without a record, a route with several services may have drawn another one.
        version: str | None = ""
        if len(admitted.route.services) == 1:
            version = self._only_version(admitted.service)
        return _Found(
            StreamBinding(admitted.service, version or ""),
            "only version" if version else "",
            is_final=result.is_complete and version is not None,
        )

    def _look_up(self, admitted: AdmittedRequest) -> LookupResult:
        traits = admitted.traits
        name = stream_name(admitted.customer_name, traits.resumes)
        if name is None or traits.resumes == traits.request_id:
            return LookupResult()
        try:
            return self._lookup.find(name)
        except TooManyLookups as error:
            self._reject(error.message, RETRY_AFTER)

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
