"""Connections to model engines and plain services."""
