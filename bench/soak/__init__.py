"""A soak test of gateways: random disruptions while responses are checked."""
