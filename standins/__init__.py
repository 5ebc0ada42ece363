"""Stand-ins for external systems and callers, for tests and benchmarks."""
