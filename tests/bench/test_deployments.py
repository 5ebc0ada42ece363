"""Changed copies of a deployment's site file."""

import tomllib

import tomli_w

from bench.deployments import CHANGES, write_all

SITE = {
    "name": "labs",
    "wire": "wire.json",
    "zones": [{"name": "a"}, {"name": "b"}],
    "machines": [
        {"zone": "a", "count": 3, "cores": 2, "memory_mb": 300, "link_mbps": 1000.0},
        {"zone": "b", "count": 2, "cores": 2, "memory_mb": 300, "link_mbps": 1000.0},
    ],
    "services": [{"servers": [{"zone": "a", "count": 4}, {"zone": "b", "count": 4}]}],
    "traffic": [{"zone": "a", "per_s": 30.0}, {"zone": "b", "per_s": 20.0}],
    "net": {"in_zone_ms": 0.2},
    "bounds": {"drain_ms": 2000},
    "tenants": {"count": 5},
    "day": [{"faults": [{"at": 1.0, "zone": "b"}, {"at": 2.0}]}],
}


def test_each_copy_differs_and_the_original_stays(tmp_path):
    path = tmp_path / "labs.toml"
    path.write_text(tomli_w.dumps(SITE), encoding="utf-8")
    written = write_all(path, tmp_path / "changed")
    texts = {each.read_text(encoding="utf-8") for each in written}
    assert len(texts) == len(CHANGES)
    assert tomllib.loads(path.read_text(encoding="utf-8")) == SITE


def test_a_zone_is_dropped_with_all_that_is_in_it(tmp_path):
    path = tmp_path / "labs.toml"
    path.write_text(tomli_w.dumps(SITE), encoding="utf-8")
    write_all(path, tmp_path)
    changed = tomllib.loads((tmp_path / "two-zones.toml").read_text(encoding="utf-8"))
    assert [machine["zone"] for machine in changed["machines"]] == ["a"]
    assert changed["services"][0]["servers"] == [{"zone": "a", "count": 4}]
    assert changed["day"][0]["faults"] == [{"at": 2.0}]
    assert changed["wire"] == str(tmp_path / "wire.json")
