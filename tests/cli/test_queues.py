"""The command that shows which requests wait at a gateway."""

from tests.cli.scripted import ScriptedEntry, json_response, serve

DOCUMENT = {
    "gateway": "front-a-2",
    "dispatcher": "front-a-1",
    "queues": [
        {
            "service": "models",
            "waiting": {"0": 2, "1": 5},
            "late": 1,
            "oldest_ms": 140,
            "capacity": 9.5,
            "customers": [
                {"customer": "lab-a", "waiting": 6, "owed": 0.25, "got": 0.5},
                {"customer": "lab-b", "waiting": 2, "owed": 0.75, "got": 0.5},
            ],
        }
    ],
}


def test_queues_are_shown_with_what_each_customer_gets(run, snapshot):
    """Guards against queues that operators can't see into."""
    with serve(ScriptedEntry(json_response(DOCUMENT))) as gateway:
        result = run("queues", "--gateway", gateway.address)
    assert (result.code, result.err) == (0, "")
    assert result.out == snapshot


def test_a_gateway_without_queues_says_so(run):
    document = DOCUMENT | {"queues": []}
    with serve(ScriptedEntry(json_response(document))) as gateway:
        result = run("queues", "--gateway", gateway.address)
    assert result.out.endswith("queues: none\n")


def test_a_gateway_that_does_not_respond_is_an_error(run):
    result = run("queues", "--gateway", "127.0.0.1:1")
    assert result.code
    assert "127.0.0.1:1" in result.err


def test_a_malformed_address_is_an_error(run):
    result = run("queues", "--gateway", "here")
    assert result.code == 2
    assert "--gateway" in result.err
