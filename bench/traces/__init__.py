"""Recorded traces, their generator, and the outcomes expected of them."""
