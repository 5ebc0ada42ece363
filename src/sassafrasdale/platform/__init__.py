"""The users' platform: its names, formats and calls, decoded once.

Nothing here decides anything, and nothing outside this folder knows a name of the
platform's.
"""
