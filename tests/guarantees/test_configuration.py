"""An accepted configuration edit takes effect on nine entries despite faults.

An observer polls every entry's revision throughout; an entry must never serve an
older revision than before.
"""

from datetime import timedelta
from uuid import uuid4

import pytest

from bench.configuration.observers import RevisionObserver
from standins.fleet import Fleet
from standins.processes import EntryProcess, PlatformProcess
from tests.guarantees.operators import (
    IN_FORCE_LIMIT,
    TEXT,
    at_once,
    edited,
    put_text,
    revision_of,
    wait_until,
)

NO_FAULTS = {
    "outage": None,
    "deaf_watches": False,
    "drop_writes": 0,
    "drop_key_prefix": "",
    "delay_ms": 0,
}
RECOVERY_LIMIT = timedelta(seconds=5)
START_LIMIT = timedelta(seconds=15)
INVALID_TEXT = TEXT.replace("kind: plain", "kind: queue").replace(
    "weight: 4", "weight: 0"
)


@pytest.fixture(scope="module")
def deployment():
    """Start nine entries and their observer, shared by all tests of the module."""
    with Fleet(TEXT, entries=9) as fleet, RevisionObserver(fleet.entries) as observer:
        observer.wait_for(1, IN_FORCE_LIMIT)
        yield fleet, observer


@pytest.fixture
def fleet(deployment):
    """Return the fleet, without faults and on one revision.

    Afterwards check that no entry went back to an older revision.
    """
    fleet, observer = deployment
    _clear_faults(fleet)
    newest = max(revision_of(entry) for entry in fleet.entries)
    observer.wait_for(newest, IN_FORCE_LIMIT)
    yield fleet
    _clear_faults(fleet)
    for entry in fleet.entries:
        assert revision_of(entry) >= observer.newest(entry.name)
    assert observer.regressions == []


@pytest.fixture
def observer(deployment):
    """Return the observer of the fleet's entries."""
    return deployment[1]


def _clear_faults(fleet):
    fleet.platform.set_faults(store=NO_FAULTS)
    for entry in fleet.entries:
        wait_until(lambda entry=entry: _reaches_store(entry), RECOVERY_LIMIT)


def _reaches_store(entry):
    return entry.client.call("GET", "/admin/v1/text/history").status == 200


def test_one_of_nine_concurrent_edits_is_accepted(fleet, observer):
    """Operators' edits would overwrite each other without notice (lost updates).

    Nine operators read the same revision and submit different texts through nine
    entries at the same time. Without compare-and-swap the last write would win and
    eight edits be lost. One edit must be accepted; the others are rejected with the
    difference to the accepted text.
    """
    base = revision_of(fleet.entries[0])
    weights = [10 + number for number in range(9)]
    answers = at_once(
        lambda entry=entry, weight=weight: put_text(
            entry, edited(weight), base, author=f"operator-{weight}"
        )
        for entry, weight in zip(fleet.entries, weights, strict=True)
    )
    statuses = sorted(answer.status for answer in answers)
    assert statuses == [200] + [412] * 8
    (accepted,) = [w for w, a in zip(weights, answers, strict=True) if a.status == 200]
    for weight, answer in zip(weights, answers, strict=True):
        if weight == accepted:
            continue
        problem = answer.json()
        assert problem["revision"] == base + 1
        assert problem["author"] == f"operator-{accepted}"
        assert f"-  cube-labs: {{weight: {accepted}}}" in problem["difference"]
        assert f"+  cube-labs: {{weight: {weight}}}" in problem["difference"]
    observer.wait_for(base + 1, IN_FORCE_LIMIT)
    for entry in fleet.entries:
        shown = entry.client.call("GET", "/admin/v1/text")
        assert shown.data.decode() == edited(accepted)


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
def test_accepted_edit_is_confirmed_although_store_responses_are_lost(
    fleet, observer, lost
):
    """An operator gets "conflict" or "unknown" although the edit took effect.

    The store writes the edit, but its response and those to the next attempts are
    lost. The entry must read the text back and find that the edit is its own.
    """
    base = revision_of(fleet.entries[0])
    fleet.platform.set_faults(
        store={"drop_writes": lost, "drop_key_prefix": "sassafrasdale/text"}
    )
    answer = put_text(fleet.entries[lost], edited(20 + lost), base)
    assert answer.status == 200
    assert answer.json()["revision"] == base + 1
    observer.wait_for(base + 1, IN_FORCE_LIMIT)


def test_retried_edit_of_unknown_outcome_is_recognised(fleet, observer):
    """A retried edit would be rejected as a conflict with itself.

    The store writes the edit, its response is lost, and the store becomes
    unavailable at once, so the author gets the outcome "unknown". After the outage
    another edit is accepted. The author's retry, with the same edit id and through
    another entry, must find the edit in the history and must not apply it again.
    """
    base = revision_of(fleet.entries[0])
    edit_id = uuid4().hex
    fleet.platform.set_faults(
        store={"drop_writes": 50, "drop_key_prefix": "sassafrasdale/text"}
    )
    answers = at_once(
        [
            lambda: put_text(fleet.entries[1], edited(30), base, edit_id=edit_id),
            lambda: _outage_after_write(fleet, base + 1),
        ]
    )
    assert answers[0].status == 503
    assert answers[0].headers["X-Outcome"] == "unknown"
    assert int(answers[0].headers["Retry-After"]) >= 1
    _clear_faults(fleet)
    observer.wait_for(base + 1, IN_FORCE_LIMIT)
    assert put_text(fleet.entries[2], edited(31), base + 1).status == 200
    observer.wait_for(base + 2, IN_FORCE_LIMIT)
    repeated = wait_until(
        lambda: _answered(
            put_text(fleet.entries[3], edited(30), base, edit_id=edit_id)
        ),
        RECOVERY_LIMIT,
    )
    assert repeated.status == 200
    assert repeated.json()["revision"] == base + 1
    assert revision_of(fleet.entries[3]) == base + 2


def _outage_after_write(fleet, revision):
    """Make the store unavailable once an entry's watch delivered ``revision``."""
    wait_until(
        lambda: any(revision_of(entry) >= revision for entry in fleet.entries[2:]),
        RECOVERY_LIMIT,
    )
    fleet.platform.set_faults(store={"outage": "close"})


def _answered(answer):
    return answer if answer.status != 503 else None


@pytest.mark.parametrize("outage", ["refuse", "close", "silent"])
def test_store_outage_right_after_an_accepted_edit(fleet, observer, outage):
    """Eight entries would keep the old text until the end of the store's outage.

    No watch delivers events and the store becomes unavailable right after it wrote
    the edit, so only the entry that submitted the edit has it. The others must
    fetch it from that peer within 5 s.
    """
    base = revision_of(fleet.entries[0])
    fleet.platform.set_faults(store={"deaf_watches": True})
    answer = put_text(fleet.entries[4], edited(40), base)
    fleet.platform.set_faults(store={"outage": outage})
    assert answer.status == 200
    observer.wait_for(base + 1, IN_FORCE_LIMIT)


def test_entry_started_during_an_outage_fetches_the_text_from_peers(fleet, observer):
    """An entry would serve without a text, or with an old one.

    The store becomes unavailable right after an edit. One entry is killed and
    restarted under the same name, another joins. Neither can read the store. Both
    must report not ready until they have the same revision as their peers.
    """
    base = revision_of(fleet.entries[0])
    assert put_text(fleet.entries[0], edited(50), base).status == 200
    fleet.platform.set_faults(store={"outage": "silent"})
    observer.wait_for(base + 1, IN_FORCE_LIMIT)
    old = fleet.entries[-1]
    fleet.kill_instance(old.name)
    fleet.entries.remove(old)
    started = [
        fleet.add_entry(old.name, old.zone),
        fleet.add_entry(f"joined-{uuid4().hex[:6]}", "zone-b"),
    ]
    for entry in started:
        revision = wait_until(lambda entry=entry: _first_ready(entry), START_LIMIT)
        assert revision == base + 1
        observer.add(entry)
    _drop(fleet, observer, started[1])


def _first_ready(entry):
    """Return the revision of an entry if it is ready, None otherwise."""
    ready = entry.client.call("GET", "/health/ready").status == 200
    return revision_of(entry) if ready else None


def _drop(fleet, observer, entry):
    """Remove an entry that a test has added."""
    observer.forget(entry.name)
    fleet.kill_instance(entry.name)
    fleet.entries.remove(entry)


def test_entry_without_store_and_peers_is_not_ready(deployment):
    """An entry would serve callers without any configuration.

    It starts without peers while the store is unavailable. It must not become ready
    before the store is reachable.
    """
    with PlatformProcess() as platform:
        platform.set_faults(store={"outage": "silent"})
        entry = EntryProcess("entry-1", "zone-a", platform.store, platform.cloud)
        try:
            entry.launch()
            platform.register(entry)
            entry.wait_until_live()
            with pytest.raises(TimeoutError):
                wait_until(
                    lambda: entry.client.call("GET", "/health/ready").status == 200,
                    timedelta(seconds=4),
                )
            platform.set_faults(store=NO_FAULTS)
            answer = wait_until(
                lambda: _answered(put_text(entry, TEXT, 0)), RECOVERY_LIMIT
            )
            assert answer.status == 200
            entry.wait_until_ready()
        finally:
            entry.close()


def test_stalled_watches_do_not_delay_an_edit(fleet, observer):
    """An edit would never reach entries whose watches have stalled.

    Every watch stays open and delivers no events. Entries learn of the edit from
    peers, and each one reopens its watch and reads the text again within a bound.
    """
    fleet.platform.set_faults(store={"deaf_watches": True})
    for number in range(3):
        base = revision_of(fleet.entries[number])
        assert put_text(fleet.entries[number], edited(60 + number), base).status == 200
        observer.wait_for(base + 1, IN_FORCE_LIMIT)


def test_first_text_makes_an_entry_with_a_stalled_watch_ready():
    """The entry that accepts a deployment's first text would never become ready.

    Its watch delivers no events, so it knows of the text from its own write alone.
    """
    with PlatformProcess() as platform:
        platform.set_faults(store={"deaf_watches": True})
        entry = EntryProcess("entry-1", "zone-a", platform.store, platform.cloud)
        try:
            entry.launch()
            platform.register(entry)
            entry.wait_until_live()
            wait_until(
                lambda: platform.counts()["store"].get("open_watches"), RECOVERY_LIMIT
            )
            assert put_text(entry, TEXT, 0).status == 200
            entry.wait_until_ready()
        finally:
            entry.close()


def test_invalid_text_changes_nothing_and_all_faults_are_reported(fleet, observer):
    """An invalid text would stop entries, or its faults be reported one at a time.

    A text with two faults is submitted through every entry. Neither the revision of
    any entry nor the history may change.
    """
    base = revision_of(fleet.entries[0])
    history = fleet.entries[0].client.call("GET", "/admin/v1/text/history").data
    for entry in fleet.entries:
        answer = put_text(entry, INVALID_TEXT, base)
        assert answer.status == 422
        fields = {fault["field"] for fault in answer.json()["faults"]}
        assert fields == {"services.records.kind", "customers.cube-labs.weight"}
        assert all(fault["line"] for fault in answer.json()["faults"])
    for entry in fleet.entries:
        assert revision_of(entry) == base
        assert entry.client.call("GET", "/admin/v1/text/history").data == history
