"""Recorded traces, their generator, and the outcomes stated for them."""
