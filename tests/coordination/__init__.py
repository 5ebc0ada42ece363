"""Tests of the platform layer."""
