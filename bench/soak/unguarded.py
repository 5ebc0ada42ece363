"""A gateway with one guard disabled, to show that a soak detects that.

Usage: ``python -m bench.soak.unguarded GUARD gateway ...``, with the gateway's
own arguments.
"""

import runpy
import sys
from datetime import timedelta
from enum import StrEnum
from typing import Any

from sassafrasdale.coordination import leases
from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.decisions.silence import STALL_TIME
from sassafrasdale.gateway import eligibility
from sassafrasdale.gateway.exchange import RequestExchange
from sassafrasdale.gateway.failures import AttemptFailed, AttemptOutcome
from sassafrasdale.gateway.hedger import CONSIDER_INTERVAL, RequestHedger
from sassafrasdale.gateway.routing import RouteTable
from sassafrasdale.http.exceptions import ResponseTimeout

PROGRAM = "bench.soak.unguarded"


class Guard(StrEnum):
    """A guard that can be disabled."""

    AT_MOST_ONCE = "at-most-once"
    NOT_RUN = "not-run"
    FENCING = "fencing"
    REVOCATION = "revocation"
    QUARANTINE = "quarantine"
    VERSIONS = "versions"
    SILENCE = "silence"


def disable(guard: Guard) -> None:
    """Disable a guard in this process."""
    match guard:
        case Guard.AT_MOST_ONCE:
            _retry_regardless_of_outcome()
        case Guard.NOT_RUN:
            _report_all_as_not_run()
        case Guard.FENCING:
            _use_one_fencing_number()
        case Guard.REVOCATION:
            _keep_revoked_keys()
        case Guard.QUARANTINE:
            StrikeLedger._update_quarantine = lambda self, changed: None
        case Guard.VERSIONS:
            eligibility.may_continue = lambda binding, service, version: True
        case Guard.SILENCE:
            _abandon_silent_streams()


def _retry_regardless_of_outcome() -> None:
    original = RequestExchange._obstacle_to_retry

    def patched(self: RequestExchange, failure: AttemptFailed) -> str:
        failure.outcome = AttemptOutcome.NOT_RUN
        return original(self, failure)

    RequestExchange._obstacle_to_retry = patched


def _report_all_as_not_run() -> None:
    original = RequestExchange._give_up

    def patched(self: RequestExchange, failure: AttemptFailed, *args: Any) -> None:
        self._failures._may_have_run = False
        original(self, failure, *args)

    RequestExchange._give_up = patched


def _use_one_fencing_number() -> None:
    original = leases._fencing_number

    def patched(*args: Any) -> int | None:
        return None if original(*args) is None else 1

    leases._fencing_number = patched


def _keep_revoked_keys() -> None:
    original = RouteTable.__init__
    all_keys: dict = {}

    def patched(self: RouteTable, *args: Any, **kwargs: Any) -> None:
        original(self, *args, **kwargs)
        all_keys.update(self._by_key)
        self._by_key = dict(all_keys)

    RouteTable.__init__ = patched


def _abandon_silent_streams() -> None:
    """End attempts before another endpoint has responded."""

    def patched(self: RequestHedger) -> timedelta:
        self._watch.judge()
        silence = self._watch.last
        if silence.has_begun and silence.lasted >= STALL_TIME:
            raise ResponseTimeout("abandoned")
        return CONSIDER_INTERVAL

    RequestHedger._consider = patched


if __name__ == "__main__":
    disable(Guard(sys.argv.pop(1)))
    runpy.run_module("sassafrasdale", run_name="__main__", alter_sys=True)
