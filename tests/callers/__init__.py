"""Tests of the callers' side."""
