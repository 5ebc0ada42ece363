"""Messages between entry instances: probes, news, hand-overs."""
