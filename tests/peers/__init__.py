"""Tests of the peers layer."""
