"""Measures how fast every entry applies an accepted configuration."""
