"""Slopes of what each role costs, for docs/CAPACITY.md."""
