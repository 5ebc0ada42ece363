"""Tests of `sassafrasdale.http`."""
