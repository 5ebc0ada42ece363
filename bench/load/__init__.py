"""Load on real processes: what is lost or mixed up, and what an entry adds."""
