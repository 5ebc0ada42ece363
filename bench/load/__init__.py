"""Load on real processes: lost or wrong responses, and the overhead of an entry."""
