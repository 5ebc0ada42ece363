"""Tests of what must always hold, on real processes with faults."""
