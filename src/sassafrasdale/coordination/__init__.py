"""Clients of the platform's key-value store and cloud API."""
