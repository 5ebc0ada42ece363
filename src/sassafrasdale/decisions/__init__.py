"""Decision functions: pure policy without input or output or a clock of its own."""
