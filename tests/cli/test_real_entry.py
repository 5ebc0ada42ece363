"""Tests of the commands with real entries and a stand-in of the platform."""

import json
import time
from datetime import timedelta
from pathlib import Path

import pytest

from sassafrasdale.cli import config
from sassafrasdale.cli.entries import SystemPacer
from standins.processes import EntryProcess, PlatformProcess

EXAMPLE = Path(__file__).parents[2] / "examples" / "authority.yaml"
MAX_APPLY_TIME = timedelta(seconds=5)


@pytest.fixture(autouse=True)
def _real_time(run, monkeypatch):
    """Make commands wait in real time, as the entries do."""
    monkeypatch.setattr(config, "SystemPacer", SystemPacer)


@pytest.fixture
def platform():
    with PlatformProcess() as platform:
        yield platform


@pytest.fixture
def entries(platform):
    """Start two entries in different zones, without a configuration."""
    entries = [
        EntryProcess(f"entry-{zone}", f"cairo-{zone}", platform.store, platform.cloud)
        for zone in "ab"
    ]
    try:
        for entry in entries:
            platform.register(entry)
            entry.launch()
        for entry in entries:
            entry.wait_until_live()
        yield entries
    finally:
        for entry in entries:
            entry.close()


def wait_for_revision(entry: EntryProcess, revision: int) -> None:
    deadline = time.monotonic() + MAX_APPLY_TIME.total_seconds()
    while time.monotonic() < deadline:
        if entry.client.call("GET", "/admin/v1/status").json()["revision"] >= revision:
            return
        time.sleep(0.05)
    raise AssertionError(f"revision {revision} is not in force at {entry.name}")


def test_two_operators_edit_the_text_from_the_first_revision_on(
    run, entries, tmp_path, monkeypatch
):
    monkeypatch.chdir(tmp_path)
    one, other = (("--entry", entry.address) for entry in entries)
    example = EXAMPLE.read_text(encoding="utf-8")

    assert run("config", "show", *one).code == 1
    assert run("config", "put", str(EXAMPLE), "--if-match", "0", *one).code == 0
    wait_for_revision(entries[1], 1)
    assert run("config", "edit", "--out", "mine.yaml", *one).code == 0
    assert run("config", "edit", "--out", "theirs.yaml", *other).code == 0
    mine = Path("mine.yaml")
    mine.write_text(mine.read_text().replace("weight: 1,", "weight: 2,"))
    theirs = Path("theirs.yaml")
    theirs.write_text(theirs.read_text().replace("weight: 1,", "weight: 3,"))

    diff = run("config", "diff", "mine.yaml", *one)
    first = run("config", "put", "mine.yaml", "--author", "amal", *one)
    second = run("config", "put", "theirs.yaml", *other)

    assert "+  press-technicians: {weight: 2," in diff.out
    assert first.out.startswith("revision 2 is accepted")
    assert second.code == 3
    assert "revision 2 by amal; yours was made from revision 1" in second.err
    assert "+  press-technicians: {weight: 3," in second.err
    wait_for_revision(entries[1], 2)
    shown = run("config", "show", *other).out
    assert shown == example.replace("weight: 1,", "weight: 2,")
    history = run("config", "history", *other).out.splitlines()
    assert [line.split()[0] for line in history[1:]] == ["2", "1"]
    # A configuration from a peer is applied before it is trusted and the entry ready.
    entries[1].wait_until_ready()
    status = run("status", *other).out
    assert "entry entry-b in cairo-b: ready, revision 2" in status


def test_broken_text_changes_nothing(run, entries, tmp_path):
    one = ("--entry", entries[0].address)
    run("config", "put", str(EXAMPLE), "--if-match", "0", *one)
    broken = tmp_path / "broken.yaml"
    broken.write_text(
        EXAMPLE.read_text().replace("[records]", "[recrds]").replace("60s", "60")
    )

    put = run("config", "put", str(broken), "--if-match", "1", *one)
    check = run("config", "check", str(broken), "--remote", *one)

    assert put.code == check.code == 1
    assert put.err == check.err == run("config", "check", str(broken)).err
    assert "3 faults; nothing was changed" in put.err
    assert run("config", "show", *one).out == EXAMPLE.read_text()


@pytest.mark.parametrize(("drops", "writes"), [(1, 2), (5, 3)])
def test_lost_response_of_the_store_creates_no_second_revision(
    run, platform, entries, drops, writes
):
    """An operator could get a conflict with their own edit.

    The store accepts the edit, its response is lost, and the entry writes again; after
    three lost responses it reports an unknown outcome, and the command continues with
    the next entry. Both find that the current revision is already that of the edit.
    """
    both = ("--entry", entries[0].address, "--entry", entries[1].address)
    platform.set_faults(store={"drop_answers": drops, "drop_prefix": "/v3/kv/txn"})

    put = run("config", "put", str(EXAMPLE), "--if-match", "0", *both)

    assert platform.counts()["store"]["kv/txn"] >= writes
    assert put.out.startswith("revision 1 is accepted")
    wait_for_revision(entries[1], 1)
    history = run("config", "history", *both).out.splitlines()
    assert len(history) == 2
    assert put.out.rstrip(")\n").split()[-1] in history[1]


def test_store_outage_is_reported_and_changes_nothing(run, platform, entries):
    one = ("--entry", entries[0].address)
    platform.set_faults(store={"outage": "refuse"})
    arguments = ("config", "put", str(EXAMPLE), "--if-match", "0", "--wait", "1s")

    during = run(*arguments, *one)
    platform.set_faults(store={"outage": None})
    after = run("config", "put", str(EXAMPLE), "--if-match", "0", *one)

    assert during.code in (4, 5)
    assert after.code == 0
    assert len(run("config", "history", *one).out.splitlines()) == 2


def test_edit_goes_to_the_other_entry_if_one_is_killed(run, entries):
    entries[0].kill()
    both = ("--entry", entries[0].address, "--entry", entries[1].address)

    assert run("config", "put", str(EXAMPLE), "--if-match", "0", *both).code == 0
    assert run("status", *both).out.startswith("entry entry-b in cairo-b")


def test_burn_is_summed_over_the_peers_of_an_entry(run, entries):
    one = ("--entry", entries[0].address)
    run("config", "put", str(EXAMPLE), "--if-match", "0", *one)
    wait_for_revision(entries[1], 1)
    for entry in entries:
        entry.wait_until_ready()
        response = entry.client.call(
            "GET", "/v1/services/records/batches/1", headers={"X-Customer": "cube-labs"}
        )
        assert response.status == 503  # there are no endpoints

    deadline = time.monotonic() + MAX_APPLY_TIME.total_seconds()
    while time.monotonic() < deadline:
        report = json.loads(run("report", "burn", "--json", *one).out)
        if len(report["entries"]) == 2:
            break
        time.sleep(0.1)

    assert report["entries"] == ["entry-a", "entry-b"]
    records = {burn["service"]: burn for burn in report["services"]}["records"]
    assert records["windows"][0] == {
        "seconds": 300,
        "total": 2,
        "in_time": 0,
        "burn_rate": 100.0,
    }
