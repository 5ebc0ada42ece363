"""Requests that wait at the dispatcher of their zone for an endpoint with room."""
