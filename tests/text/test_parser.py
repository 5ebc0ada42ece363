"""Tests of parsing and checking a configuration."""

import time
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrasdale.text.exceptions import FaultError, TextError
from sassafrasdale.text.parser import MAX_FAULTS, parse_text
from sassafrasdale.text.structures import ServiceKind

EXAMPLES = Path(__file__).parents[2] / "examples"
AUTHORITY = (EXAMPLES / "authority.yaml").read_text(encoding="utf-8")

BROKEN = {
    "not YAML": (
        "deployment: authority",
        "deployment: authority: twice",
        "",
        "is not YAML: mapping values are not allowed",
    ),
    "unknown field": (
        "    timeout: 60s",
        "    timout: 60s",
        "services.reports.timout",
        "did you mean timeout?",
    ),
    "field of another part": (
        "count: 3\n        checks",
        "kind: 3\n        checks",
        "services.reports.pools[0].kind",
        "not a known field",
    ),
    "missing field": (
        "    kind: plain\n",
        "",
        "services.records.kind",
        "is missing",
    ),
    "wrong type": (
        "priority: 4",
        "priority: high",
        "services.reports.priority",
        "valid integer",
    ),
    "text for a truth value": (
        "path: /*, idempotent: true",
        "path: /*, idempotent: yes",
        "services.records.rules[0].idempotent",
        "valid boolean",
    ),
    "out of range": (
        "priority: 4",
        "priority: 8",
        "services.reports.priority",
        "less than or equal to 7",
    ),
    "not a number": (
        "weight: 1,",
        "weight: .nan,",
        "customers.press-technicians.weight",
        "finite",
    ),
    "no unit": ("timeout: 60s", "timeout: 60", "services.reports.timeout", "units"),
    "duplicate key": (
        "  ready-mix-plants:",
        "  cube-labs:",
        "customers.cube-labs",
        "stands twice, first on line",
    ),
    "customer without weight": (
        "{weight: 4, max_in_flight: 200}",
        "{max_in_flight: 200}",
        "customers.cube-labs.weight",
        "is missing",
    ),
    "customer with no weight": (
        "cube-labs: {weight: 4",
        "cube-labs: {weight: 0",
        "customers.cube-labs.weight",
        "greater than 0",
    ),
    "service without pool": (
        "    pools:\n      - instance_class: cpu-small\n        availability_zones: "
        "[cairo-a, cairo-b, cairo-c]\n        count: 3\n        max_in_flight: 64\n"
        "        max_waiting: 128\n",
        "    pools: []\n",
        "services.records.pools",
        "at least 1",
    ),
    "unknown zone": (
        "[cairo-a, cairo-b, cairo-c]",
        "[cairo-a, cairo-bb, cairo-c]",
        "services.reports.pools[0].availability_zones[1]",
        "no availability zone cairo-bb; did you mean cairo-b?",
    ),
    "unknown class": (
        "instance_class: gpu-large",
        "instance_class: gpu-lage",
        "services.reports.pools[0].instance_class",
        "did you mean gpu-large?",
    ),
    "unknown service": (
        "[records]",
        "[recrds]",
        "services.reports.depends_on[0]",
        "no service recrds; did you mean records?",
    ),
    "dependency cycle": (
        "    kind: plain\n",
        "    kind: plain\n    depends_on: [reports]\n",
        "services.reports.depends_on",
        "depends on itself: reports -> records -> reports",
    ),
    "zone twice in a pool": (
        "[cairo-a, cairo-b, cairo-c]",
        "[cairo-a, cairo-a]",
        "services.reports.pools[0].availability_zones[1]",
        "cairo-a stands twice",
    ),
    "delay to itself": (
        "one_way_delay: 0.5ms",
        "one_way_delay: {cairo-a: 0.5ms, cairo-b: 1ms, cairo-c: 1ms}",
        "availability_zones.cairo-a.one_way_delay.cairo-a",
        "no delay to itself",
    ),
    "delay missing": (
        "one_way_delay: 0.5ms",
        "one_way_delay: {cairo-b: 1ms}",
        "availability_zones.cairo-a.one_way_delay",
        "names no delay to cairo-c",
    ),
    "timeout below objective": (
        "timeout: 60s",
        "timeout: 10s",
        "services.reports.timeout",
        "at least the objective's latency",
    ),
    "first token after the answer": (
        "first_token: 1s",
        "first_token: 21s",
        "services.reports.objective.first_token",
        "at most the objective's latency",
    ),
    "first token of a plain service": (
        "{latency: 100ms,",
        "{latency: 100ms, first_token: 10ms,",
        "services.records.objective.first_token",
        "kind model",
    ),
    "bad name": (
        "deployment: authority",
        "deployment: The_Authority",
        "deployment",
        "does not match",
    ),
    "path without slash": (
        "path: /certificates",
        "path: certificates",
        "services.records.rules[1].path",
        "does not match",
    ),
    "path with other wildcards": (
        "path: /certificates",
        "path: '/certificates?'",
        "services.records.rules[1].path",
        "does not match",
    ),
    "method in lower case": (
        "{method: POST,",
        "{method: post,",
        "services.records.rules[1].method",
        "'POST'",
    ),
    "rule behind a wider one": (
        "{method: GET, path: /*, idempotent: true}",
        "{method: '*', path: /*, idempotent: true}",
        "services.records.rules[1]",
        "is never reached, as rules[0] comes first",
    ),
    "no weight at all": (
        "{latency_cost: 3, recomputed_tokens: 0}",
        "{latency_cost: 0, recomputed_tokens: 0}",
        "services.records.weights",
        "must be above 0",
    ),
    "alias": (
        "deployment: authority",
        "deployment: &name authority",
        "",
        "anchors and aliases",
    ),
    "tag": (
        "deployment: authority",
        "deployment: !!python/name:os.system authority",
        "",
        "tag",
    ),
    "two documents": (
        "instance_classes:",
        "---\ninstance_classes:",
        "",
        "more than one document",
    ),
    "key that is a mapping": (
        "deployment: authority",
        "deployment: authority\n{a: b}: c",
        "",
        "a key must be a word",
    ),
}


def faults_of(source: str) -> tuple:
    with pytest.raises(TextError) as caught:
        parse_text(source)
    return caught.value.faults


@pytest.mark.parametrize("name", ["authority", "association"])
def test_examples_have_the_sizes_of_the_deployments(name):
    text = parse_text((EXAMPLES / f"{name}.yaml").read_text(encoding="utf-8"))

    replicas = dict.fromkeys(ServiceKind, 0)
    for service in text.services.values():
        replicas[service.kind] += sum(pool.count for pool in service.pools)
    assert text.deployment == name
    assert len(text.availability_zones) == 3
    assert replicas == {ServiceKind.MODEL: 6, ServiceKind.PLAIN: 3}
    assert len(text.customers) == 5


def test_examples_have_the_delays_of_the_deployments():
    authority = parse_text(AUTHORITY).availability_zones["cairo-a"]
    association = parse_text(
        (EXAMPLES / "association.yaml").read_text(encoding="utf-8")
    ).availability_zones["arima"]

    half_ms, one_ms = timedelta(microseconds=500), timedelta(milliseconds=1)
    assert authority.one_way_delay == {"cairo-b": half_ms, "cairo-c": half_ms}
    assert authority.client_delay == one_ms
    assert set(association.one_way_delay.values()) == {timedelta(milliseconds=1.5)}
    assert association.client_delay == timedelta(milliseconds=3)


@pytest.mark.parametrize("kind", BROKEN)
def test_fault_names_field_and_line(kind):
    old, new, field, message = BROKEN[kind]
    assert old in AUTHORITY
    broken = AUTHORITY.replace(old, new, 1)

    faults = faults_of(broken)

    found = [fault for fault in faults if fault.field == field]
    assert found, faults
    assert message in found[0].message
    first_changed = AUTHORITY[: AUTHORITY.index(old)].count("\n") + 1
    assert 1 <= found[0].line <= first_changed + old.count("\n") + 1


def test_unclosed_bracket_is_reported_with_its_line():
    faults = faults_of(AUTHORITY.replace("[gpu-large, cpu-small]", "[gpu-large"))

    assert "while parsing a flow sequence begun on line 6" in faults[0].message


def test_all_faults_are_reported_in_the_order_of_their_lines():
    broken = (
        AUTHORITY.replace("[records]", "[recrds]")
        .replace("timeout: 60s", "timout: 60s")
        .replace("cube-labs: {weight: 4,", "cube-labs: {")
        .replace("instance_class: cpu-small", "instance_class: cpu-smal")
    )

    faults = faults_of(broken)

    assert [fault.field for fault in faults] == [
        "services.reports.timeout",
        "services.reports.depends_on[0]",
        "services.reports.timout",
        "services.explanations.depends_on[0]",
        "services.records.pools[0].instance_class",
        "customers.cube-labs.weight",
    ]
    assert [fault.line for fault in faults] == sorted(fault.line for fault in faults)


def test_error_is_a_group_with_one_member_for_each_fault():
    caught = []
    try:
        parse_text("deployment: 1\nservices: 2\n")
    except* FaultError as group:
        caught.extend(group.exceptions)
    assert {error.field for error in caught} >= {"deployment", "services"}


def test_deep_nesting_is_rejected_before_anything_is_built():
    """A configuration of 100,000 opening brackets could crash the entry.

    Composing its nodes would raise a RecursionError, which ends the whole entry
    instead of only failing the edit.
    """
    faults = faults_of("a: " + "[" * 100_000)

    assert "nested deeper" in faults[0].message


def test_nested_aliases_are_rejected():
    """A configuration with nested aliases could exhaust the memory of all entries.

    Nine lines with nine aliases each of the line before expand to 9**9 values, in
    every entry that applies the configuration.
    """
    lines = ["l0: &l0 [x, x, x, x, x, x, x, x, x]"]
    for level in range(1, 10):
        row = ", ".join([f"*l{level - 1}"] * 9)
        lines.append(f"l{level}: &l{level} [{row}]")

    faults = faults_of("\n".join(lines))

    assert "anchors and aliases are not accepted" in faults[0].message


@pytest.mark.parametrize(
    ("source", "message"),
    [
        ("", "is empty"),
        ("just words", "must be a mapping"),
        ("- a\n- b\n", "must be a mapping"),
        ("a: " + "x" * 2000, "longer than 1024 characters"),
        ("a: '" + "x\n" * 300_000, "longer than 524288 bytes"),
        ("# " + "م" * 120_000, "bytes as it is stored, above 716800"),
        ("[" + "1," * 60_000 + "1]", "more than 50000 values"),
        ("a: \x00", "not YAML"),
        ("a: \ud800", "not YAML"),
        ("--- a\n...\n--- b\n", "more than one document"),
        ("%YAML 9.9\n--- {}\n", "not YAML"),
        ("deployment: " + "9" * 1000, "valid string"),
    ],
)
def test_oversized_and_malformed_texts_get_a_fault(source, message):
    assert any(message in fault.message for fault in faults_of(source))


def test_idempotency_follows_the_rules_or_else_the_kind():
    services = parse_text(AUTHORITY).services

    records, reports = services["records"], services["reports"]
    assert records.is_idempotent("GET", "/batches/17")
    assert not records.is_idempotent("POST", "/certificates")
    assert not records.is_idempotent("DELETE", "/batches/17")
    assert reports.is_idempotent("POST", "/v1/chat/completions")


@pytest.mark.parametrize(
    "path",
    [
        "/lookups/../certificates",
        "/lookups/./../certificates",
        "//certificates",
        "/lookups/%2e%2e/certificates",
        "/lookups/..\\certificates",
        "/lookups/..;/certificates",
        "/lookups/\n../certificates",
    ],
)
def test_path_that_is_not_canonical_does_not_match_the_rule_for_lookups(path):
    """One batch could get two certificates.

    The path of the call begins like a lookup and matches the rule by which lookups may
    be retried. The call is retried after a lost response, and the endpoint resolves
    the path to the one that issues certificates.
    """
    source = AUTHORITY.replace(
        "{method: GET, path: /*,", "{method: '*', path: /lookups/*,"
    )
    records = parse_text(source).services["records"]

    assert records.is_idempotent("POST", "/lookups/17")
    assert records.is_idempotent("GET", "/batches/")
    assert not records.is_idempotent("POST", path)
    assert not records.is_idempotent("GET", path)


LINES = AUTHORITY.splitlines()
DAMAGE = st.tuples(
    st.integers(0, len(LINES) - 1),
    st.sampled_from(["drop", "twice", "indent", "null", "list"]),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(DAMAGE, min_size=1, max_size=4))
def test_damaged_text_is_parsed_or_gets_faults_with_lines(damages):
    lines = list(LINES)
    for number, kind in damages:
        key, colon, _ = lines[number].partition(":")
        match kind:
            case "drop":
                lines[number] = ""
            case "twice":
                lines[number] += f"\n{lines[number]}"
            case "indent":
                lines[number] = f"  {lines[number]}"
            case "null":
                lines[number] = f"{key}{colon}"
            case "list":
                lines[number] = f"{key}{colon} [1, {{}}]"
    source = "\n".join(lines)
    try:
        faults = ()
        parse_text(source)
    except TextError as error:
        faults = error.faults
    assert all(1 <= fault.line <= source.count("\n") + 2 for fault in faults)


def _services(depends_on: dict[str, list[str]]) -> str:
    lines = [
        f"  {name}:\n    depends_on: [{', '.join(others)}]"
        for name, others in depends_on.items()
    ]
    return "services:\n" + "\n".join(lines) + "\n"


NAMES = [f"service-{number}" for number in range(200)]
COSTLY = {
    "every service needs every other": _services(
        {name: [other for other in NAMES if other != name][:150] for name in NAMES}
    ),
    "every reference is wrong": _services(
        {name: [f"{name}-{number}" for number in range(100)] for name in NAMES}
    ),
    "every field is wrong": "\n".join(f"deploymen{n}: 1" for n in range(20_000)),
}


@pytest.mark.parametrize("kind", COSTLY)
def test_text_with_very_many_faults_is_rejected_quickly(kind):
    """A generated configuration with many faults stalled the entry for up to 50 s.

    Each wrong name was compared with all known ones, and each cycle of dependencies
    was searched for separately.
    """
    started = time.process_time()

    faults = faults_of(COSTLY[kind])

    assert time.process_time() - started < 3
    assert len(faults) <= MAX_FAULTS + 1
    if len(faults) > MAX_FAULTS:
        assert faults[-1].message.endswith("more faults are not listed")


def test_cycles_that_share_no_service_are_all_reported():
    source = _services({"a": ["b"], "b": ["a"], "c": ["d"], "d": ["e"], "e": ["c"]})

    cycles = [fault for fault in faults_of(source) if "itself" in fault.message]

    assert [fault.field for fault in cycles] == [
        "services.a.depends_on",
        "services.c.depends_on",
    ]
