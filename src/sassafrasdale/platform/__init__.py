"""Adapter to the users' platform: its names, formats and calls.

It makes no decisions, and the platform's names appear nowhere else in the package.
"""
