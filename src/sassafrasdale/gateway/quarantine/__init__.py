"""Quarantine of what crashes endpoints: strikes, their replication and records."""
