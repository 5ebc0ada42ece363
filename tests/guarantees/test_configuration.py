"""What operators accept is in force on nine entries, whatever fails meanwhile.

An observer asks every entry all the time for its revision; no entry may ever
serve an older one than before.
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
OUTAGE_ENDED = timedelta(seconds=5)
START_LIMIT = timedelta(seconds=15)
FAULTY_TEXT = TEXT.replace("kind: plain", "kind: queue").replace(
    "weight: 4", "weight: 0"
)


@pytest.fixture(scope="module")
def deployment():
    """Nine entries under observation, for all tests of the module."""
    with Fleet(TEXT, entries=9) as fleet, RevisionObserver(fleet.entries) as observer:
        observer.wait_for(1, IN_FORCE_LIMIT)
        yield fleet, observer


@pytest.fixture
def fleet(deployment):
    """Give the fleet without faults and settled; check that no entry steps back."""
    fleet, observer = deployment
    _heal(fleet)
    newest = max(revision_of(entry) for entry in fleet.entries)
    observer.wait_for(newest, IN_FORCE_LIMIT)
    yield fleet
    _heal(fleet)
    for entry in fleet.entries:
        assert revision_of(entry) >= observer.newest(entry.name)
    assert observer.regressions == []


@pytest.fixture
def observer(deployment):
    """Give the observer of the fleet's entries."""
    return deployment[1]


def _heal(fleet):
    fleet.platform.set_faults(store=NO_FAULTS)
    for entry in fleet.entries:
        wait_until(lambda entry=entry: _reaches_store(entry), OUTAGE_ENDED)


def _reaches_store(entry):
    return entry.client.call("GET", "/admin/v1/text/history").status == 200


def test_one_of_nine_racing_operators_wins(fleet, observer):
    """An operator's edit would vanish under another's, and nobody would say so.

    Nine operators read the same revision and put their own text through nine
    entries at the same moment. Without compare-and-swap the last would win and
    eight edits be lost. One must win; each loser is told, with the difference.
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
    (won,) = [w for w, a in zip(weights, answers, strict=True) if a.status == 200]
    for weight, answer in zip(weights, answers, strict=True):
        if weight == won:
            continue
        told = answer.json()
        assert told["revision"] == base + 1
        assert told["author"] == f"operator-{won}"
        assert f"-  cube-labs: {{weight: {won}}}" in told["difference"]
        assert f"+  cube-labs: {{weight: {weight}}}" in told["difference"]
    observer.wait_for(base + 1, IN_FORCE_LIMIT)
    for entry in fleet.entries:
        shown = entry.client.call("GET", "/admin/v1/text")
        assert shown.data.decode() == edited(won)


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
def test_author_learns_of_acceptance_whose_answers_were_lost(fleet, observer, lost):
    """An operator is told "conflict" or "unknown" although the edit is in force.

    The store takes the edit and its answer is lost, and so are the answers to
    the next tries. The entry must read back whose edit it is that stands there.
    """
    base = revision_of(fleet.entries[0])
    fleet.platform.set_faults(
        store={"drop_writes": lost, "drop_key_prefix": "sassafrasdale/text"}
    )
    answer = put_text(fleet.entries[lost], edited(20 + lost), base)
    assert answer.status == 200
    assert answer.json()["revision"] == base + 1
    observer.wait_for(base + 1, IN_FORCE_LIMIT)


def test_edit_of_unknown_fate_is_recognised_when_it_is_repeated(fleet, observer):
    """A repeated edit would be refused as a conflict with itself.

    The store takes the edit, its answer is lost, and the store goes out at once.
    The author is told that the fate is unknown. Others edit on top when the store
    is back. The author's repeat, with the same id and through another entry, must
    find the edit in the history, and must not bring it back into force there.
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
    _heal(fleet)
    observer.wait_for(base + 1, IN_FORCE_LIMIT)
    assert put_text(fleet.entries[2], edited(31), base + 1).status == 200
    observer.wait_for(base + 2, IN_FORCE_LIMIT)
    repeated = wait_until(
        lambda: _answered(
            put_text(fleet.entries[3], edited(30), base, edit_id=edit_id)
        ),
        OUTAGE_ENDED,
    )
    assert repeated.status == 200
    assert repeated.json()["revision"] == base + 1
    assert revision_of(fleet.entries[3]) == base + 2


def _outage_after_write(fleet, revision):
    """Put the store out as soon as a watch shows that ``revision`` was written."""
    wait_until(
        lambda: any(revision_of(entry) >= revision for entry in fleet.entries[2:]),
        OUTAGE_ENDED,
    )
    fleet.platform.set_faults(store={"outage": "close"})


def _answered(answer):
    return answer if answer.status != 503 else None


@pytest.mark.parametrize("outage", ["refuse", "close", "silent"])
def test_store_out_just_after_acceptance(fleet, observer, outage):
    """Eight entries would stay on the old text for as long as the store is out.

    No watch delivers and the store goes out in the moment in which it has taken
    the edit, so only the entry that wrote it has it. The others must get it from
    that peer within 5 s.
    """
    base = revision_of(fleet.entries[0])
    fleet.platform.set_faults(store={"deaf_watches": True})
    answer = put_text(fleet.entries[4], edited(40), base)
    fleet.platform.set_faults(store={"outage": outage})
    assert answer.status == 200
    observer.wait_for(base + 1, IN_FORCE_LIMIT)


def test_entry_that_restarts_or_joins_in_an_outage_takes_the_text_of_peers(
    fleet, observer
):
    """A restarted entry would serve without a text, or with an old one.

    The store goes out just after an edit. One entry is killed and starts again
    under its name, another joins. Neither can read the store. Both must be
    unready until they have what their peers have.
    """
    base = revision_of(fleet.entries[0])
    assert put_text(fleet.entries[0], edited(50), base).status == 200
    fleet.platform.set_faults(store={"outage": "silent"})
    observer.wait_for(base + 1, IN_FORCE_LIMIT)
    old = fleet.entries[-1]
    fleet.take(old.name)
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
    """Return the revision of an entry once it is ready; it must have one by then."""
    ready = entry.client.call("GET", "/health/ready").status == 200
    return revision_of(entry) if ready else None


def _drop(fleet, observer, entry):
    """Take out an entry that a test has added."""
    observer.forget(entry.name)
    fleet.take(entry.name)
    fleet.entries.remove(entry)


def test_entry_without_store_and_peers_stays_unready(deployment):
    """An entry alone in an outage would serve callers without any text.

    It starts while the store is out, beside no peer. It must not become ready
    until the store is back.
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
                lambda: _answered(put_text(entry, TEXT, 0)), OUTAGE_ENDED
            )
            assert answer.status == 200
            entry.wait_until_ready()
        finally:
            entry.close()


def test_deaf_watches_do_not_hold_an_edit_back(fleet, observer):
    """An edit would never reach entries whose watches have gone silent.

    Every watch stays open and delivers nothing. Peers tell each other, and each
    watch is armed anew and the text read within a bound.
    """
    fleet.platform.set_faults(store={"deaf_watches": True})
    for number in range(3):
        base = revision_of(fleet.entries[number])
        assert put_text(fleet.entries[number], edited(60 + number), base).status == 200
        observer.wait_for(base + 1, IN_FORCE_LIMIT)


def test_first_text_with_deaf_watches_makes_an_entry_ready():
    """The first text of a deployment would leave its entry unready for good.

    Watches are deaf, so the entry that takes the operator's first text knows of
    it from the put alone, not from its watch.
    """
    with PlatformProcess() as platform:
        platform.set_faults(store={"deaf_watches": True})
        entry = EntryProcess("entry-1", "zone-a", platform.store, platform.cloud)
        try:
            entry.launch()
            platform.register(entry)
            entry.wait_until_live()
            wait_until(
                lambda: platform.counts()["store"].get("open_watches"), OUTAGE_ENDED
            )
            assert put_text(entry, TEXT, 0).status == 200
            entry.wait_until_ready()
        finally:
            entry.close()


def test_faulty_text_changes_nothing_and_all_faults_are_told(fleet, observer):
    """One faulty line would stop entries, or be told one fault at a time.

    A text with two faults is put through every entry. Nothing may change on any
    of them nor in the history.
    """
    base = revision_of(fleet.entries[0])
    history = fleet.entries[0].client.call("GET", "/admin/v1/text/history").data
    for entry in fleet.entries:
        answer = put_text(entry, FAULTY_TEXT, base)
        assert answer.status == 422
        fields = {fault["field"] for fault in answer.json()["faults"]}
        assert fields == {"services.records.kind", "customers.cube-labs.weight"}
        assert all(fault["line"] for fault in answer.json()["faults"])
    for entry in fleet.entries:
        assert revision_of(entry) == base
        assert entry.client.call("GET", "/admin/v1/text/history").data == history
