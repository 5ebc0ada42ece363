"""Serve both users' deployments with gateways on the platform's stand-ins.

Usage::

    python -m bench.gateway_demo

For each deployment two gateways start as processes, with a store, duty calls,
engines and a plain service; each kind of request is sent through each gateway.
"""

import sys
from dataclasses import dataclass

from bench.demo import CheckError, run_demo
from standins.gateway_fleet import GatewayFleet, GatewayProcess, ask

KEY = "demo-key"
CUSTOMER = "demo"
SETTINGS = {
    "zones": {"zone-a": "here", "zone-b": "here"},
    "bounds": {},
}


@dataclass(frozen=True, slots=True)
class Deployment:
    """The request paths of one user.

    :param streams: paths that an engine serves with a stream.
    :param calls: paths of non-idempotent calls.
    :param lookups: paths of idempotent calls.
    """

    name: str
    streams: tuple[str, ...]
    calls: tuple[str, ...]
    lookups: tuple[str, ...]


DEPLOYMENTS = (
    Deployment(
        "authority",
        ("/batch-report/", "/failure-explain/", "/press-chat/"),
        ("/cert-lookup/",),
        ("/batch-fetch/",),
    ),
    Deployment(
        "association",
        ("/contract-digest/", "/enquiry-reply/", "/planner-chat/"),
        ("/date-hold/",),
        ("/venue-page/",),
    ),
)


def serve(deployment: Deployment) -> list[str]:
    """Send each kind of request through each gateway; return the summary's lines.

    :raises CheckError: if a response is not as expected.
    """
    fleet = GatewayFleet(SETTINGS, configuration(deployment))
    try:
        for zone in SETTINGS["zones"]:
            fleet.add_endpoint(f"models-{zone}", "models", zone, streams=True)
            fleet.add_endpoint(f"records-{zone}", "records", zone, streams=False)
            fleet.add_gateway(f"gateway-{zone}", zone).launch()
        for gateway in fleet.gateways:
            gateway.wait_until_ready()
        lines = [f"{deployment.name}: 4 endpoints, {len(fleet.gateways)} gateways"]
        for gateway in fleet.gateways:
            lines += _send_all(gateway, deployment)
        return lines
    finally:
        fleet.close()


def configuration(deployment: Deployment) -> dict:
    """Return a configuration with a route for each kind of request."""
    kinds = {
        **dict.fromkeys(deployment.streams, ("stream", "models")),
        **dict.fromkeys(deployment.calls, ("non_idempotent", "records")),
        **dict.fromkeys(deployment.lookups, ("idempotent", "records")),
    }
    return {
        "version": 1,
        "routes": [
            {
                "name": prefix.strip("/"),
                "host": f"{deployment.name}.example",
                "prefix": prefix,
                "kind": kind,
                "timeoutMs": 8000,
                "service": service,
                "maxTries": 2,
                "allowResume": kind == "stream",
                "sessionAffinity": kind == "stream",
            }
            for prefix, (kind, service) in kinds.items()
        ],
        "services": [
            {
                "name": "models",
                "maxConns": 370,
                "engine": {"slots": 64, "kvCap": 344095},
            },
            {"name": "records", "maxConns": 110},
        ],
        "tenants": [{"name": CUSTOMER, "apiKeys": [KEY]}],
    }


def _send_all(gateway: GatewayProcess, deployment: Deployment) -> list[str]:
    lines = []
    paths = (*deployment.streams, *deployment.calls, *deployment.lookups)
    for number, path in enumerate(paths):
        method = "GET" if path in deployment.lookups else "POST"
        response = ask(gateway.address, _request(deployment, method, path, number))
        if not response.startswith(b"HTTP/1.1 200"):
            raise CheckError(f"{path}: {response[:100]!r}")
        events = response.count(b"data: ")
        if path in deployment.streams and not (
            events and response.endswith(b"0\r\n\r\n")
        ):
            raise CheckError(f"{path}: the stream is incomplete")
        summary = f"{events} events" if events else "whole"
        lines.append(f"  {method} {path} through {gateway.name}: 200, {summary}")
    return lines


def _request(deployment: Deployment, method: str, path: str, number: int) -> bytes:
    lines = [
        f"{method} {path}7 HTTP/1.1",
        f"Host: {deployment.name}.example",
        f"Request-Id: demo-{number}",
        f"Api-Key: {KEY}",
        "Connection: close",
        "Content-Length: 0",
    ]
    if path in deployment.streams:
        lines += ["Token-Count: 1200,24", "Prompt-Prefix: aa:900,bb:300"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def main() -> int:
    """Serve both deployments and print a summary."""
    return run_demo(
        serve,
        DEPLOYMENTS,
        "both deployments answered every kind of request through every gateway",
    )


if __name__ == "__main__":
    sys.exit(main())
