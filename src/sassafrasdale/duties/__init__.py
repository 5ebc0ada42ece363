"""Duties that one entry at a time has, held by a lease of the store."""
