"""Tests of the JSON-lines logs."""

import io
import json
import logging
import os
import threading
from datetime import timedelta

import pytest

from sassafrasdale.green import sleep, spawn
from sassafrasdale.logs import LineWriter, Logger, request_context, start_logs

LOG = Logger("callers")


@pytest.fixture
def stream():
    return io.StringIO()


@pytest.fixture
def logs(stream):
    root = logging.getLogger()
    before = root.handlers[:]
    logs = start_logs("entry-1", "info", stream)
    yield logs
    logs.close()
    root.handlers[:] = before


def lines_of(logs, stream) -> list[dict]:
    logs.close()
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_a_line_has_the_entry_the_request_and_the_extra_fields(logs, stream):
    with request_context("r-1"):
        LOG.info("request ended", service="reports", status=200)
    LOG.debug("below the level")

    (line,) = lines_of(logs, stream)

    assert line.pop("time").endswith("+00:00")
    assert line == {
        "level": "info",
        "logger": "callers",
        "entry": "entry-1",
        "message": "request ended",
        "request_id": "r-1",
        "service": "reports",
        "status": 200,
    }


def test_extra_fields_do_not_overwrite_standard_fields(logs, stream):
    LOG.info("text\nwith a line end", extra={"entry": "entry-9", "message": "forged"})

    (line,) = lines_of(logs, stream)

    assert line["entry"] == "entry-1"
    assert line["message"] == "text\nwith a line end"


def test_each_task_logs_its_own_request(logs, stream):
    def work(request_id):
        with request_context(request_id):
            sleep(timedelta(milliseconds=1))
            LOG.info("done", task=request_id)

    tasks = [spawn(work, f"r-{number}") for number in range(5)]
    for task in tasks:
        task.wait()
    LOG.info("outside")

    *inside, outside = lines_of(logs, stream)

    assert len(inside) == 5
    assert all(line["request_id"] == line["task"] for line in inside)
    assert "request_id" not in outside


def test_exceptions_and_library_logs_become_lines(logs, stream):
    try:
        raise ValueError("broken")
    except ValueError:
        LOG.exception("request failed")
    logging.getLogger("urllib3").warning("pool is %s", "full")

    failed, library = lines_of(logs, stream)

    assert "ValueError: broken" in failed["exception"]
    assert (library["logger"], library["message"]) == ("urllib3", "pool is full")


def test_a_stalled_reader_does_not_block_the_caller():
    """Guards against a stall of all streams while the log collector hangs.

    The pipe fills after 64 KiB, and the next write blocks. Lines beyond the limit must
    be dropped and counted instead.
    """
    reading, writing = os.pipe()
    writer = LineWriter(os.fdopen(writing, "w"), limit=100)
    done = threading.Event()

    def write_many():
        for _ in range(1000):
            writer.write("x" * 1024)
        done.set()

    threading.Thread(target=write_many, daemon=True).start()

    assert done.wait(timeout=10)
    assert writer.dropped > 0
    os.close(reading)
    writer.close()


def test_a_closed_stream_does_not_end_the_writer():
    reading, writing = os.pipe()
    os.close(reading)
    writer = LineWriter(os.fdopen(writing, "w", buffering=1))

    writer.write("one")
    writer.close()

    assert writer.dropped == 1
