"""A model of engines behind several gateways, to measure choices of endpoints."""
