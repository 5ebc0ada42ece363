"""Tests of the messages between green tasks and the peers' thread."""

import asyncio
import threading
from datetime import timedelta

import pytest

from sassafrasdale.green import Queue, sleep, spawn
from sassafrasdale.peers.bridge import LoopThread, Mailbox
from sassafrasdale.peers.exceptions import PeerCallTimeout

SECOND = timedelta(seconds=1)


@pytest.fixture
def mailbox():
    made = Mailbox()
    yield made
    made.close()


@pytest.fixture
def thread(mailbox):
    made = LoopThread(mailbox)
    made.start()
    yield made
    made.stop()


def test_posted_functions_run_in_order_in_the_green_thread(mailbox):
    inbox = Queue()
    green = threading.get_ident()
    count = 10_000

    def post():
        for number in range(count):
            mailbox.post(lambda n=number: inbox.put((n, threading.get_ident())))

    threading.Thread(target=post).start()
    assert [inbox.get(timeout=5) for _ in range(count)] == [
        (number, green) for number in range(count)
    ]


def test_failed_function_does_not_stop_the_next(mailbox):
    inbox = Queue()
    mailbox.post(lambda: 1 / 0)
    mailbox.post(inbox.put, "next")
    assert inbox.get(timeout=5) == "next"


def test_call_returns_its_result_while_other_tasks_run(thread):
    beats = []

    def beat():
        while True:
            beats.append(1)
            sleep(timedelta(milliseconds=10))

    beating = spawn(beat)

    async def compute():
        # Without other tasks that run meanwhile, there are no more beats.
        while len(beats) <= 5:
            await asyncio.sleep(0.01)
        return 42

    assert thread.call(compute(), 5 * SECOND) == 42
    beating.kill()


def test_call_raises_the_exception_of_its_coroutine(thread):
    async def fail():
        raise KeyError("x")

    with pytest.raises(KeyError):
        thread.call(fail(), SECOND)


def test_call_is_cancelled_after_its_timeout(thread):
    """Guards against a green task that waits forever for an unresponsive peer."""
    ended = threading.Event()

    async def hang():
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()

    with pytest.raises(PeerCallTimeout):
        thread.call(hang(), timedelta(milliseconds=50))
    assert ended.wait(5)
