"""The entry process: its components, message handling, startup and shutdown."""

from sassafrasdale.entry.process import Entry, run_entry

__all__ = ["Entry", "run_entry"]
