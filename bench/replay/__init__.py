"""Replay of recorded traces at the decisions' own interfaces."""
