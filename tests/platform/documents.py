"""Sample documents in the platform's format, with values chosen for the tests."""

import copy
from typing import Any

SETTINGS: dict[str, Any] = {
    "node": "front-a-1",
    "role": "gateway",
    "machineClass": "front",
    "serves": ["front"],
    "ip": "127.0.0.1",
    "zone": "a",
    "region": "here",
    "zones": {"a": "here", "b": "here"},
    "listen": {"front": "127.0.0.1:7001", "ready": "127.0.0.1:7002"},
    "portRange": [7100, 7115],
    "seedNodes": [],
    "bootstrap": True,
    "heartbeatMs": 1200,
    "contracts": ["base"],
    "bounds": {
        "drainMs": 1500,
        "graceS": 6,
        "configApplyMs": 1700,
        "retryRatio": 0.1,
        "retryWindowS": 9,
        "retrySlack": 33,
        "quotaWindowS": 7,
        "quotaSlack": 1000,
        "leaseMs": 2500,
        "usageWindowS": 4,
        "usageLateS": 8,
        "retryAfterS": 5.5,
        "somethingNew": 1,
    },
    "platform": {"addr": "127.0.0.1:7003", "form": "kv", "ttlMinMs": 1000},
    "cloud": {"addr": "127.0.0.1:7004", "duties": ["metering", "scale"]},
}

CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-lookups",
            "host": "labs.example",
            "prefix": "/certificates/",
            "kind": "non_idempotent",
            "timeoutMs": 600,
            "goalMs": 125,
            "priority": 2,
            "service": "records",
            "maxTries": 1,
        },
        {
            "name": "r-reports",
            "host": "labs.example",
            "prefix": "/reports/",
            "kind": "stream",
            "timeoutMs": 8000,
            "goalMs": 800,
            "priority": 0,
            "split": [
                {"service": "models", "weight": 90},
                {"service": "models-next", "weight": 10},
            ],
            "maxTries": 2,
            "noAuth": False,
            "sessionAffinity": True,
            "allowResume": True,
            "gapAimMs": 300,
        },
        {
            "name": "r-open",
            "host": "labs.example",
            "prefix": "/reports/open/",
            "kind": "idempotent",
            "timeoutMs": 1000,
            "service": "records",
            "maxTries": 3,
            "noAuth": True,
        },
    ],
    "services": [
        {
            "name": "models",
            "healthPath": "/healthz",
            "maxConns": 370,
            "engine": {"slots": 64, "kvCap": 344095},
            "scale": {
                "min": 1,
                "max": 4,
                "bootS": 4.0,
                "spotPrice": 0.22,
                "zonePrices": {"a": 0.85, "b": 1.2},
            },
        },
        {"name": "records", "healthPath": "/healthz", "maxConns": 110},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {
            "name": "lab-a",
            "apiKeys": ["key-1", "key-2"],
            "priority": 1,
            "unit": "tokens",
            "plainTokens": 200,
            "ratePerS": 10000,
            "burst": 5000,
        }
    ],
}


def settings(**changed: Any) -> dict[str, Any]:
    """Return the settings with some fields replaced."""
    return {**copy.deepcopy(SETTINGS), **changed}


def configuration(**changed: Any) -> dict[str, Any]:
    """Return the configuration with some fields replaced."""
    return {**copy.deepcopy(CONFIGURATION), **changed}
