"""Tests, arranged as the package is."""
