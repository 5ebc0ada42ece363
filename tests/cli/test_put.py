"""Tests of ``sassafrasdale config put``."""

import pytest

from sassafrasdale.cli import config
from tests.cli.scripted import DROPPED, Answer, json_answer

ACCEPTED = json_answer({"revision": 7}, ETag='"7"')
NOT_RUN = json_answer(
    {"title": "Store out of reach", "detail": "store is down"},
    503,
    **{"X-Outcome": "not-run"},
)
UNKNOWN = json_answer(
    {"title": "Store out of reach", "detail": "answer lost"},
    503,
    **{"X-Outcome": "unknown"},
)
CONFLICT = json_answer(
    {
        "title": "Conflict",
        "detail": "another edit was accepted first",
        "revision": 9,
        "author": "Zo%C3%AB",
        "difference": "--- revision 9\n+++ your text",
    },
    412,
)
FAULTY = json_answer(
    {
        "title": "Faulty text",
        "faults": [{"field": "customers", "line": 66, "message": "is missing"}],
    },
    422,
)


def sent_ids(*entries) -> set[str]:
    return {
        request.headers["X-Edit-Id"] for entry in entries for request in entry.requests
    }


def test_edit_goes_out_with_the_revision_of_the_file(run, entry, text_file):
    first = entry(ACCEPTED)

    result = run("config", "put", "text.yaml", "--entry", first.address)

    (request,) = first.requests
    assert (result.code, result.err) == (0, "")
    assert result.out.startswith("revision 7 is accepted (edit ")
    assert (request.method, request.path) == ("PUT", "/admin/v1/text")
    assert request.headers["If-Match"] == '"6"'
    assert request.headers["X-Author"] == "operator"
    # The mark is gone, and lines keep their numbers.
    marked = text_file.read_text(encoding="utf-8")
    assert request.body == marked.replace("# revision 6", "")


def test_author_may_have_any_letters(run, entry, text_file):
    first = entry(ACCEPTED)

    run("config", "put", "text.yaml", "--entry", first.address, "--author", "أمل")

    assert first.requests[0].headers["X-Author"] == "%D8%A3%D9%85%D9%84"


def test_lost_answer_is_retried_with_the_same_id(run, entry, text_file):
    """Put an edit whose answer is lost after it took effect.

    The operator would see a conflict with their own edit, or put it twice. The
    entry dies after the store took the edit; the next attempt reaches another
    entry, which knows the edit by its id.
    """
    dead = entry(DROPPED)
    alive = entry(ACCEPTED)

    result = run(
        "config", "put", "text.yaml", "--entry", dead.address, "--entry", alive.address
    )

    assert result.code == 0
    assert result.out.startswith("revision 7 is accepted")
    assert len(sent_ids(dead, alive)) == 1


def test_entry_that_is_not_there_is_passed_over(run, entry, text_file, nobody):
    alive = entry(ACCEPTED)

    result = run(
        "config", "put", "text.yaml", "--entry", nobody, "--entry", alive.address
    )

    assert result.code == 0


def test_store_outage_is_waited_out(run, entry, text_file):
    first = entry(NOT_RUN, NOT_RUN, ACCEPTED)

    result = run("config", "put", "text.yaml", "--entry", first.address)

    assert (result.code, len(first.requests)) == (0, 3)


@pytest.mark.parametrize(
    ("answer", "code", "message"),
    [
        (NOT_RUN, 4, "nothing was changed; no entry took it"),
        (UNKNOWN, 5, "the edit may have taken effect as revision 7"),
        (DROPPED, 5, "repeat with --edit-id"),
        (CONFLICT, 3, "revision 9 by Zoë; yours was made from revision 6"),
        (FAULTY, 1, "text.yaml:66: customers: is missing\n1 fault; nothing was"),
        (json_answer({"title": "Too large"}, 413), 1, "nothing was changed; Too large"),
        (Answer(500, "not JSON"), 5, "may have taken effect"),
    ],
)
def test_exit_code_tells_what_became_of_the_edit(
    run, entry, text_file, answer, code, message
):
    first = entry(answer)

    result = run("config", "put", "text.yaml", "--entry", first.address)

    assert (result.code, result.out) == (code, "")
    assert message in result.err


def test_refusal_after_a_lost_answer_is_not_taken_for_no_effect(run, entry, text_file):
    """Get a refusal from an older entry after a lost answer.

    The operator would be told that nothing was changed although the edit is in
    force: the first entry's answer was lost after it took effect, and the second
    runs an older release that does not know a field of the text.
    """
    first = entry(DROPPED)
    older = entry(FAULTY)

    result = run(
        "config", "put", "text.yaml", "--entry", first.address, "--entry", older.address
    )

    assert result.code == 5
    assert "nothing was changed" not in result.err


def test_interrupted_edit_tells_its_id(run, entry, text_file, monkeypatch):
    def interrupt(*_: object) -> None:
        raise KeyboardInterrupt

    first = entry(NOT_RUN)
    monkeypatch.setattr(config.SystemPacer, "sleep", interrupt)

    result = run("config", "put", "text.yaml", "--entry", first.address)

    (edit_id,) = sent_ids(first)
    assert result.code == 5
    assert f"--edit-id {edit_id}" in result.err


def test_nobody_to_be_reached(run, text_file, nobody):
    result = run("config", "put", "text.yaml", "--entry", nobody)

    assert result.code == 4
    assert "Connection refused" in result.err


def test_file_without_a_revision_needs_one(run, entry, text_file):
    text_file.write_text("deployment: x\n", encoding="utf-8")
    first = entry(ACCEPTED)

    refused = run("config", "put", "text.yaml", "--entry", first.address)
    accepted = run(
        "config", "put", "text.yaml", "--if-match", "0", "--entry", first.address
    )

    assert refused.code == 2
    assert "--if-match" in refused.err
    assert accepted.code == 0
    assert first.requests[0].headers["If-Match"] == '"0"'


def test_edit_id_of_an_earlier_attempt_is_used_again(run, entry, text_file):
    first = entry(ACCEPTED)
    arguments = ("config", "put", "text.yaml", "--entry", first.address, "--edit-id")

    assert run(*arguments, "two\nlines").code == 2
    assert run(*arguments, "edit-1").code == 0
    assert sent_ids(first) == {"edit-1"}
