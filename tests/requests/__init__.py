"""Tests of the requests layer."""
