"""Messages between entry instances."""
