"""Tests of the connections to endpoints."""
