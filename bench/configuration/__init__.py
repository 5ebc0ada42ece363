"""Measures how fast an accepted text is in force on every entry."""
