"""Tests of the command line in general."""

import subprocess
import sys

import pytest

COMMANDS = [
    (),
    ("entry",),
    ("config",),
    ("config", "check"),
    ("config", "show"),
    ("config", "diff"),
    ("config", "edit"),
    ("config", "put"),
    ("config", "history"),
    ("status",),
    ("queues",),
    ("report", "burn"),
]


@pytest.mark.parametrize("command", COMMANDS, ids=" ".join)
def test_help(run, command, snapshot):
    result = run(*command, "--help")

    assert result.code == 0
    assert result.out == snapshot


def test_entry_names_every_fault_of_its_settings(run, snapshot):
    result = run("entry", "--address", "here", "--log-level", "loud")

    assert (result.code, result.out) == (2, "")
    assert result.err == snapshot


def test_unknown_flag_exits_with_2_before_anything_starts(run):
    result = run("entry", "--adress", "127.0.0.1:0")

    assert result.code == 2
    assert "Did you mean --address?" in result.err + result.out


def test_commands_load_only_what_they_need():
    """Importing the command line loaded libraries that most commands don't use.

    Each imported library takes memory of an entry that is limited, and delays the
    commands of operators.
    """
    script = (
        "import sys, sassafrasdale.cli.main;"
        "print(sorted({'eventlet', 'ruamel', 'urllib3', 'logbook', 'grpclib',"
        " 'sismic', 'opentelemetry', 'matplotlib'} & set(sys.modules)))"
    )
    process = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )

    assert process.stdout.strip() == "[]"


def test_package_runs_as_a_module():
    process = subprocess.run(
        [sys.executable, "-m", "sassafrasdale", "--version"],
        capture_output=True,
        text=True,
        check=True,
    )

    assert process.stdout.strip() == "0.1.0"
