"""Tests of the duties."""
