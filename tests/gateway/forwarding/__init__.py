"""Tests of `sassafrasdale.gateway.forwarding`."""
