"""Finding changes of the store that no watch brings.

Watches may be swallowed by a silence of the store, all gateways' at once. So the
gateways that watch also ask by turns, without waiting for changes; the reasons and the
price are told in :mod:`sassafrasdale.decisions.turns`. One that finds a change asks for
its own watches anew, and tells the others as it tells them of any change.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta

from logbook import Logger

from sassafrasdale.decisions.turns import Turn
from sassafrasdale.gateway.following import Follower
from sassafrasdale.gateway.usage import TrueTime
from sassafrasdale.green import sleep, spawn
from sassafrasdale.platform.store import PlatformStore

log = Logger("polling")

# Turns in the time in which a change must be in force. A change that all watches have
# missed is found within one turn; the other three quarters are left for telling the
# gateways, which takes up to three of their reports.
TURNS_PER_DELAY = 4
# The store has a rate, and each call a price; where less than 0.8 s is promised there
# are no more than five turns a second.
SHORTEST_STEP = timedelta(milliseconds=200)


class Polling:
    """Task that asks for changes whenever it is this gateway's turn.

    :param followers: the prefixes that are followed.
    :param turn: returns this gateway's turn now; None where it has none.
    :param time: true time, which the turns go by.
    :param delay: time in which a confirmed change must be in force.
    """

    def __init__(
        self,
        followers: Sequence[Follower],
        store: PlatformStore,
        turn: Callable[[], Turn | None],
        time: TrueTime,
        delay: timedelta,
    ) -> None:
        self._followers = followers
        self._store = store
        self._turn = turn
        self._time = time
        self._step = max(delay / TURNS_PER_DELAY, SHORTEST_STEP)

    def run(self) -> None:
        """Ask at each turn until the task is killed."""
        while True:
            turn = self._turn()
            if turn is None:
                sleep(self._step)
                continue
            left = turn.time_until(self._time.seconds, self._step)
            if left > self._step:
                # Turns change as gateways come and go.
                sleep(self._step / 2)
                continue
            sleep(left)
            self._ask_all()
            # A timer that fires early must not make two turns of one.
            sleep(self._step / 4)

    def _ask_all(self) -> None:
        # An answer that a silence swallows must not hold up the next question.
        for follower in self._followers:
            spawn(self._ask, follower)

    def _ask(self, follower: Follower) -> None:
        if follower.poll():
            log.info("watches asked anew", prefix=follower.prefix)
            self._store.drop_watches()
