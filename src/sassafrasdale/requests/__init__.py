"""The life of one request."""
