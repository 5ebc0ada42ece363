"""Timeouts that don't count the time in which this process was stalled."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

# A wait consists of steps of this length. A step that ends late counts only its
# nominal length, as the result may have arrived while this process was stalled.
STEP = timedelta(milliseconds=50)

Result = TypeVar("Result")


async def wait_within(limit: timedelta, awaitable: Awaitable[Result]) -> Result:
    """Return the result of ``awaitable``.

    :raises TimeoutError: if it isn't done within ``limit``, not counting stalls.
    """
    task = asyncio.ensure_future(awaitable)
    remaining = limit
    try:
        while remaining > timedelta():
            step = min(STEP, remaining)
            await asyncio.wait({task}, timeout=step.total_seconds())
            if task.done():
                return task.result()
            remaining -= step
        raise TimeoutError
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
