"""Processing of requests, from admission to outcome."""
