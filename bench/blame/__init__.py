"""Measurement of what crashes of endpoints are blamed on, in drawn histories."""
