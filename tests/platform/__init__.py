"""Tests of `sassafrasdale.platform`."""
