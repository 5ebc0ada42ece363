"""Tests of `sassafrasdale.gateway.streams`."""
