"""Pure policy: no input or output and no clock of its own."""
