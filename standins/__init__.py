"""Stand-ins for outside systems, each one process, for tests and trials."""
