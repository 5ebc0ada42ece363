"""Tests of the decisions."""
