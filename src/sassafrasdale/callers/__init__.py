"""HTTP for callers and administration."""
