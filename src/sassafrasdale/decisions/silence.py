"""What the silence of an endpoint justifies.

An endpoint that sends nothing may have stalled and go on, be gone without a reset, or
be cut off; or all endpoints have stalled at once. Only the last bytes from it and from
the others tell these apart. A run that is given up is lost, while one that is waited
for may go on at any moment. So silence alone never ends an attempt: at most it
justifies a hedge, another attempt beside it at an endpoint that responds, which takes
over once its response has come.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

# Time without progress after which a response is unlikely to go on soon. Callers give
# up after a gap of two seconds or more, and another engine has to prefill first.
STALL_TIME = timedelta(seconds=1.2)
# Evidence of the other endpoints is collected from then on.
EVIDENCE_TIME = timedelta(milliseconds=800)
# Bytes from an endpoint show for this long that it responds.
RESPONSE_AGE = timedelta(milliseconds=300)
# Time for which another endpoint must have responded while this one has not. Endpoints
# that have stalled together don't go on in the same instant.
RESPONDING_TIME = timedelta(milliseconds=200)
# Time without a byte, while requests wait, after which the link is diagnosed. An engine
# prefills before it sends anything.
PLAIN_SILENCE = timedelta(milliseconds=400)
ENGINE_SILENCE = timedelta(seconds=1)
# An endpoint that accepts connections and does not respond may just be busy. Its link
# is suspicious only if no endpoint at all has sent a byte for this time.
TOTAL_SILENCE = timedelta(milliseconds=800)
# Silences that are shorter justify nothing.
MIN_SILENCE = min(PLAIN_SILENCE, EVIDENCE_TIME)


class SilenceCause(StrEnum):
    """What a silence is most likely due to."""

    # The link from here to the endpoint is lost, by what peers report.
    LINK = "link lost"
    # Other endpoints respond, this one does not.
    ENDPOINT = "endpoint silent"
    # The endpoint responds to other requests: the connection is dead, or the run is
    # held up.
    CONNECTION = "response stalled"
    # No other endpoint is known to respond.
    SERVICE = "others silent"


@dataclass(frozen=True, slots=True)
class Silence:
    """What is known of a response that does not go on.

    :param lasted: time since it last made progress.
    :param has_begun: whether it has begun.
    :param patience: time without progress that is usual for it.
    :param heard: age of the last bytes from its endpoint; None if there were none.
    :param others_responding: longest time for which an endpoint that could take over
        has been responding; None if none does.
    :param is_link_lost: whether the link to its endpoint is known to be lost.
    """

    lasted: timedelta
    has_begun: bool
    heard: timedelta | None = None
    others_responding: timedelta | None = None
    is_link_lost: bool = False
    patience: timedelta = STALL_TIME


@dataclass(frozen=True, slots=True)
class Wait:
    """The response may go on."""


@dataclass(frozen=True, slots=True)
class CollectEvidence:
    """Whether other endpoints respond has to be known soon."""


@dataclass(frozen=True, slots=True)
class StartHedge:
    """Another attempt may run beside this one, and take over if it responds first."""

    cause: SilenceCause


SilenceVerdict = Wait | CollectEvidence | StartHedge


def cause_of(silence: Silence) -> SilenceCause:
    """Return what a silence is most likely due to."""
    if silence.is_link_lost:
        return SilenceCause.LINK
    responding = silence.others_responding
    if responding is None or responding < RESPONDING_TIME:
        return SilenceCause.SERVICE
    if silence.heard is not None and silence.heard <= RESPONSE_AGE:
        return SilenceCause.CONNECTION
    return SilenceCause.ENDPOINT


def judge(silence: Silence) -> SilenceVerdict:
    """Return what a silence justifies.

    An engine may queue a prompt for long, so a response that has not begun is waited
    for unless the link is lost.
    """
    cause = cause_of(silence)
    if cause is SilenceCause.LINK:
        return StartHedge(cause) if silence.lasted >= PLAIN_SILENCE else Wait()
    if not silence.has_begun or silence.lasted < min(EVIDENCE_TIME, silence.patience):
        return Wait()
    if silence.lasted < silence.patience or cause is SilenceCause.SERVICE:
        return CollectEvidence()
    return StartHedge(cause)


def is_link_suspicious(all_silent: timedelta | None) -> bool:
    """Return whether a link may be lost whose endpoint accepts connections only.

    :param all_silent: time since bytes came from any endpoint; None if none ever did.
    """
    return all_silent is None or all_silent >= TOTAL_SILENCE


def blames_version(all_silent: timedelta | None) -> bool:
    """Return whether a response that did not come in time speaks against its version.

    If all endpoints were silent, it says nothing of one of them.
    """
    return all_silent is not None and all_silent < TOTAL_SILENCE


def has_peer_stalled(asked_at: timedelta, heard_at: timedelta | None) -> bool:
    """Return whether a peer that has not answered a call in time answers nobody.

    :param asked_at: elapsed time at which the call was made.
    :param heard_at: elapsed time of the peer's last answer to any call; None without
        one.
    """
    return heard_at is None or heard_at <= asked_at


class CommonStall:
    """Whether all endpoints, or this gateway's network, have stalled.

    It shows by requests that wait at several endpoints while no byte comes from any,
    and lasts until one does. A response that does not come in it is no fault of its
    endpoint.
    """

    def __init__(self) -> None:
        self._seen_at: timedelta | None = None

    def lasts(
        self, all_silent: timedelta | None, waited_elsewhere: timedelta, now: timedelta
    ) -> bool:
        """Return whether there is one, for a response that an endpoint owes.

        :param all_silent: time since bytes came from any endpoint; None if none ever
            did.
        :param waited_elsewhere: longest time for which a request waits at another
            endpoint.
        """
        silent = now if all_silent is None else all_silent
        if min(silent, waited_elsewhere) >= PLAIN_SILENCE:
            self._seen_at = now
        return self._seen_at is not None and now - self._seen_at <= silent


class Responsiveness:
    """For how long endpoints have been responding, by samples of their last bytes."""

    def __init__(self) -> None:
        self._since: dict[str, timedelta] = {}

    def sample(
        self, received_at: Mapping[str, timedelta | None], now: timedelta
    ) -> None:
        """Record when the last bytes came from each endpoint."""
        responding = {
            name
            for name, at in received_at.items()
            if at is not None and now - at <= RESPONSE_AGE
        }
        self._since = {name: self._since.get(name, now) for name in responding}

    def responding(self, now: timedelta) -> dict[str, timedelta]:
        """Return for how long endpoints have been responding, those that do."""
        return {name: now - since for name, since in self._since.items()}
