"""Tests of `sassafrasdale.gateway.advertisements`."""
