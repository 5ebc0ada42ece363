"""The gateway: takes callers' requests and has endpoints answer them."""
