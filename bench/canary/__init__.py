"""Simulated rollouts, on which rules for canary analysis are compared."""
