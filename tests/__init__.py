"""Tests, in the same folders as the package's modules."""
