"""Measures what each role costs and fits slopes, for docs/CAPACITY.md."""
