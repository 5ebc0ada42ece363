"""Tests of ``sassafrasdale config put``."""

import pytest

from sassafrasdale.cli import config
from tests.cli.scripted import DROPPED, Response, json_response

ACCEPTED = json_response({"revision": 7}, ETag='"7"')
NOT_RUN = json_response(
    {"title": "Store out of reach", "detail": "store is down"},
    503,
    **{"X-Outcome": "not-run"},
)
UNKNOWN = json_response(
    {"title": "Store out of reach", "detail": "answer lost"},
    503,
    **{"X-Outcome": "unknown"},
)
CONFLICT = json_response(
    {
        "title": "Conflict",
        "detail": "another edit was accepted first",
        "revision": 9,
        "author": "Zo%C3%AB",
        "difference": "--- revision 9\n+++ your text",
    },
    412,
)
FAULTY = json_response(
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


def test_edit_is_sent_with_the_revision_of_the_file(run, entry, text_file):
    first = entry(ACCEPTED)

    result = run("config", "put", "text.yaml", "--entry", first.address)

    (request,) = first.requests
    assert (result.code, result.err) == (0, "")
    assert result.out.startswith("revision 7 is accepted (edit ")
    assert (request.method, request.path) == ("PUT", "/admin/v1/text")
    assert request.headers["If-Match"] == '"6"'
    assert request.headers["X-Author"] == "operator"
    # The revision is removed, and the lines keep their numbers.
    content = text_file.read_text(encoding="utf-8")
    assert request.body == content.replace("# revision 6", "")


def test_author_may_have_any_characters(run, entry, text_file):
    first = entry(ACCEPTED)

    run("config", "put", "text.yaml", "--entry", first.address, "--author", "أمل")

    assert first.requests[0].headers["X-Author"] == "%D8%A3%D9%85%D9%84"


def test_edit_is_retried_with_the_same_id_after_a_lost_response(run, entry, text_file):
    """An operator could get a conflict with their own edit, or make it twice.

    The entry crashes after the store has accepted the edit, so the response is lost.
    The next attempt reaches another entry, which recognizes the edit by its id.
    """
    crashed = entry(DROPPED)
    running = entry(ACCEPTED)

    result = run(
        "config",
        "put",
        "text.yaml",
        "--entry",
        crashed.address,
        "--entry",
        running.address,
    )

    assert result.code == 0
    assert result.out.startswith("revision 7 is accepted")
    assert len(sent_ids(crashed, running)) == 1


def test_unreachable_entry_is_skipped(run, entry, text_file, unused_address):
    running = entry(ACCEPTED)

    result = run(
        "config",
        "put",
        "text.yaml",
        "--entry",
        unused_address,
        "--entry",
        running.address,
    )

    assert result.code == 0


def test_edit_is_retried_during_a_store_outage(run, entry, text_file):
    first = entry(NOT_RUN, NOT_RUN, ACCEPTED)

    result = run("config", "put", "text.yaml", "--entry", first.address)

    assert (result.code, len(first.requests)) == (0, 3)


@pytest.mark.parametrize(
    ("response", "code", "message"),
    [
        (NOT_RUN, 4, "nothing was changed; no entry took it"),
        (UNKNOWN, 5, "the edit may have taken effect as revision 7"),
        (DROPPED, 5, "repeat with --edit-id"),
        (CONFLICT, 3, "revision 9 by Zoë; yours was made from revision 6"),
        (FAULTY, 1, "text.yaml:66: customers: is missing\n1 fault; nothing was"),
        (
            json_response({"title": "Too large"}, 413),
            1,
            "nothing was changed; Too large",
        ),
        (Response(500, "not JSON"), 5, "may have taken effect"),
    ],
)
def test_exit_code_gives_the_outcome_of_the_edit(
    run, entry, text_file, response, code, message
):
    first = entry(response)

    result = run("config", "put", "text.yaml", "--entry", first.address)

    assert (result.code, result.out) == (code, "")
    assert message in result.err


def test_refusal_after_a_lost_response_leaves_the_outcome_unknown(
    run, entry, text_file
):
    """An operator could be told that nothing was changed although the edit took effect.

    The response of the first entry was lost after the edit took effect, and the second
    runs an older release that does not know a field of the configuration.
    """
    first = entry(DROPPED)
    older = entry(FAULTY)

    result = run(
        "config", "put", "text.yaml", "--entry", first.address, "--entry", older.address
    )

    assert result.code == 5
    assert "nothing was changed" not in result.err


def test_interrupted_edit_reports_its_id(run, entry, text_file, monkeypatch):
    def interrupt(*_: object) -> None:
        raise KeyboardInterrupt

    first = entry(NOT_RUN)
    monkeypatch.setattr(config.SystemPacer, "sleep", interrupt)

    result = run("config", "put", "text.yaml", "--entry", first.address)

    (edit_id,) = sent_ids(first)
    assert result.code == 5
    assert f"--edit-id {edit_id}" in result.err


def test_no_entry_is_reachable(run, text_file, unused_address):
    result = run("config", "put", "text.yaml", "--entry", unused_address)

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


def test_edit_id_of_an_earlier_attempt_is_reused(run, entry, text_file):
    first = entry(ACCEPTED)
    arguments = ("config", "put", "text.yaml", "--entry", first.address, "--edit-id")

    assert run(*arguments, "two\nlines").code == 2
    assert run(*arguments, "edit-1").code == 0
    assert sent_ids(first) == {"edit-1"}
