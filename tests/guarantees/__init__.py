"""End-to-end tests of the guarantees, on real processes with injected faults."""
