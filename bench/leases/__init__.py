"""Measures how long a duty is without a leader."""
