"""Measurement of admission, limits, retries, hedging and health by replay."""
