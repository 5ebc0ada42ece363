"""Exceptions of the communication between entries."""

from sassafrasdale.exceptions import SassafrasdaleError


class PeersError(SassafrasdaleError):
    """Base class of the exceptions in this package."""


class PeerNotReached(PeersError):
    """A call to a peer failed or timed out."""


class PeerCallTimeout(PeersError):
    """A call into the peers' thread did not finish within its timeout."""
