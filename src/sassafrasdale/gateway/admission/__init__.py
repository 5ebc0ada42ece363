"""Waiting requests, at the dispatcher of a zone or at their own gateway."""
