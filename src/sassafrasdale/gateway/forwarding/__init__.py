"""Forwarding of attempts through a peer when the link to an endpoint is lost."""
