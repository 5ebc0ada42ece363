"""Decoding of the operators' configuration."""

import json
from datetime import timedelta

import pytest

from sassafrasdale.deployment import RequestKind
from sassafrasdale.platform.configuration import decode_configuration
from sassafrasdale.platform.exceptions import ValueMalformed
from tests.platform.documents import configuration


def decoded(**changed):
    return decode_configuration(json.dumps(configuration(**changed)).encode())


def test_routes():
    lookups, reports, public = decoded().routes
    assert lookups.kind is RequestKind.NON_IDEMPOTENT
    assert not lookups.repeatable
    assert [part.service for part in reports.services] == ["models", "models-next"]
    assert reports.repeatable
    assert reports.timeout == timedelta(seconds=8)
    assert public.public
    assert public.max_attempts == 3


def test_services_and_customers():
    configuration = decoded()
    models = configuration.services["models"]
    assert models.engine.cache_tokens == 344095
    assert models.scale.zone_prices == {"a": 0.85, "b": 1.2}
    assert configuration.services["records"].engine is None
    (customer,) = configuration.customers
    assert customer.keys == {"key-1", "key-2"}
    assert customer.counts_tokens


def test_limits():
    assert decoded().limits.idle_timeout == timedelta(seconds=15)


def test_unknown_fields_are_ignored():
    assert decoded(newField=[1]).version == 7


def test_the_error_names_the_field():
    with pytest.raises(ValueMalformed) as caught:
        decoded(version="seven")
    assert caught.value.field == "version"


def test_invalid_json():
    with pytest.raises(ValueMalformed):
        decode_configuration(b"{")
