"""Duties of the leader, the entry that holds a lease of the store."""
