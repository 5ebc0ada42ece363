"""HTTP interface for callers and for administration."""
