"""Tests of gateways as real processes."""

from pathlib import Path

from standins.gateway_fleet import GatewayProcess

PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_gateways_have_ports_that_no_other_process_is_given():
    """Guards against a gateway whose port is in use when it starts.

    The kernel could have given the port to an outgoing connection meanwhile.
    """
    first_given = int(PORT_RANGE.read_text("ascii").split()[0])
    gateway = GatewayProcess("front-0", "a", {})
    own = [gateway.address, gateway.ready_address, gateway.metrics_address]
    assert all(address.port < first_given for address in own)
    gateway.close()
