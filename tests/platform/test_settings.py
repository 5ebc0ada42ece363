"""Decoding of the platform's settings file."""

import json
from datetime import timedelta

import pytest

from sassafrasdale.platform.exceptions import SettingsFileError, SettingsFileFaults
from sassafrasdale.platform.settings import (
    PATH_VARIABLE,
    decode_settings,
    read_settings,
)
from sassafrasdale.structures import Address
from tests.platform.documents import settings


@pytest.mark.parametrize("share", [0, 0.1, 1])
def test_any_canary_share_is_accepted(share):
    """Guards against a gateway that does not start with a canary share of zero."""
    fields = settings()
    fields["bounds"]["canaryShare"] = share
    assert decode_settings(fields).bounds.canary_share == share


def test_values_come_from_the_file():
    decoded = decode_settings(settings())
    assert decoded.name == "front-a-1"
    assert decoded.address == Address("127.0.0.1", 7001)
    assert decoded.peer_address == Address("127.0.0.1", 7100)
    assert decoded.reports_usage
    assert decoded.orders_endpoints
    assert decoded.bounds.endpoint_drain == timedelta(seconds=1.5)
    assert decoded.bounds.configuration_delay == timedelta(seconds=1.7)
    assert decoded.bounds.lease == timedelta(seconds=2.5)
    assert decoded.bounds.usage_window == timedelta(seconds=4)
    assert decoded.bounds.retry_slack == 33


def test_no_duties_without_a_cloud_address():
    decoded = decode_settings(settings(cloud=None))
    assert decoded.cloud is None
    assert not decoded.reports_usage


def test_all_faults_are_reported_with_their_fields():
    faulty = settings(node=None, portRange="x")
    with pytest.raises(SettingsFileFaults) as caught:
        decode_settings(faulty)
    fields = {fault.field for fault in caught.value.exceptions}
    assert fields == {"node", "portRange"}


def test_an_invalid_address():
    faulty = settings(listen={"front": "nowhere", "ready": "127.0.0.1:1"})
    with pytest.raises(SettingsFileFaults) as caught:
        decode_settings(faulty)
    assert caught.value.exceptions[0].field == "listen.front"


def test_the_environment_names_the_file(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings()), encoding="utf-8")
    assert read_settings({PATH_VARIABLE: str(path)}).name == "front-a-1"


@pytest.mark.parametrize("content", ["", "{", None])
def test_an_unreadable_file(tmp_path, content):
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_text(content, encoding="utf-8")
    with pytest.raises(SettingsFileError):
        read_settings({PATH_VARIABLE: str(path)})


def test_a_missing_environment_variable():
    with pytest.raises(SettingsFileError):
        read_settings({})
