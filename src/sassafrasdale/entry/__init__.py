"""One entry process: its parts, its messages, its start and its stop."""

from sassafrasdale.entry.process import Entry, run_entry

__all__ = ["Entry", "run_entry"]
