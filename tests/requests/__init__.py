"""Tests of request processing."""
