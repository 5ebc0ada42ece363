"""Tests of the waiting requests."""
