"""Tests of the settings of an entry process."""

from dataclasses import MISSING, fields
from datetime import timedelta
from pathlib import Path

import pytest

from sassafrasdale.settings import (
    EntrySettings,
    SettingsError,
    flag_of,
    load_settings,
    variable_of,
)
from sassafrasdale.structures import Address
from sassafrasdale.text.durations import format_duration

COMPLETE = {
    "SASSAFRASDALE_NAME": "entry-1",
    "SASSAFRASDALE_AVAILABILITY_ZONE": "cairo-a",
    "SASSAFRASDALE_ADDRESS": "127.0.0.1:8080",
    "SASSAFRASDALE_PEER_ADDRESS": "127.0.0.1:8081",
    "SASSAFRASDALE_STORE": "127.0.0.1:2379",
    "SASSAFRASDALE_CLOUD": "127.0.0.1:9000",
}


def test_required_variables_suffice():
    assert load_settings({}, COMPLETE) == EntrySettings(
        name="entry-1",
        availability_zone="cairo-a",
        address=Address("127.0.0.1", 8080),
        peer_address=Address("127.0.0.1", 8081),
        store=Address("127.0.0.1", 2379),
        cloud=Address("127.0.0.1", 9000),
    )


def test_flags_take_precedence_over_variables():
    environ = {**COMPLETE, "SASSAFRASDALE_DRAIN_TIMEOUT": "5s"}

    settings = load_settings({"name": "entry-2", "drain_timeout": "1m"}, environ)

    assert settings.name == "entry-2"
    assert settings.drain_timeout == timedelta(minutes=1)


def test_all_faults_are_reported_together():
    environ = {
        **COMPLETE,
        "SASSAFRASDALE_STORE": "store",
        "SASSAFRASDALE_LOG_LEVEL": "loud",
        "SASSAFRASDALE_MAX_BODY_BYTES": "-1",
        "SASSAFRASDALE_HEADER_TIMEOUT": "0s",
    }
    del environ["SASSAFRASDALE_CLOUD"]

    with pytest.raises(SettingsError) as caught:
        load_settings({"name": "entry 2", "peer_address": "x:99999"}, environ)

    assert [fault.field for fault in caught.value.faults] == [
        "name",
        "peer_address",
        "store",
        "cloud",
        "max_body_bytes",
        "header_timeout",
        "log_level",
    ]
    missing = caught.value.faults[3]
    assert missing.message == "--cloud (SASSAFRASDALE_CLOUD): is missing"


def test_operators_page_lists_every_setting():
    page = (Path(__file__).parents[1] / "docs" / "OPERATORS.md").read_text()

    for setting in fields(EntrySettings):
        default = (
            "required"
            if setting.default is MISSING
            else format_default(setting.default)
        )
        row = f"| `{flag_of(setting.name)}` | `{variable_of(setting.name)}` | {default}"
        assert row in page


def format_default(default: object) -> str:
    match default:
        case timedelta():
            return format_duration(default)
        case _:
            return str(default)
