"""Tests of timeouts in a stalled process."""

import asyncio
import time
from datetime import timedelta

import pytest

from sassafrasdale.peers.timeouts import wait_within

LIMIT = timedelta(milliseconds=200)
STALL = 0.5  # seconds


async def respond(delay: float) -> str:
    await asyncio.sleep(delay)
    return "answer"


def test_result_received_while_the_process_was_stalled_counts():
    """Guards against a stalled process that considers healthy peers dead."""

    async def run() -> str:
        asyncio.get_running_loop().call_later(0.01, time.sleep, STALL)
        return await wait_within(LIMIT, respond(0.05))

    assert asyncio.run(run()) == "answer"


def test_no_result_raises_timeout_error():
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        asyncio.run(wait_within(LIMIT, respond(5)))
    assert LIMIT.total_seconds() <= time.monotonic() - began < 2


def test_exceptions_propagate():
    async def fail() -> None:
        raise OSError("refused")

    with pytest.raises(OSError, match="refused"):
        asyncio.run(wait_within(LIMIT, fail()))


def test_awaitable_is_cancelled_after_the_timeout():
    cancelled = []

    async def work() -> None:
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            cancelled.append(True)
            raise

    async def run() -> None:
        with pytest.raises(TimeoutError):
            await wait_within(LIMIT, work())
        await asyncio.sleep(0)

    asyncio.run(run())
    assert cancelled == [True]
