"""Measures what reclaims of endpoints and entries cost, on real processes."""
