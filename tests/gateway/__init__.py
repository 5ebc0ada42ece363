"""Tests of `sassafrasdale.gateway`."""
