"""Streams that go on at the software version that began them."""
