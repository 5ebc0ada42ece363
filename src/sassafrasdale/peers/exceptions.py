"""Errors of the layer that speaks to other entries."""

from sassafrasdale.exceptions import SassafrasdaleError


class PeersError(SassafrasdaleError):
    """Base class of this layer's errors."""


class PeerNotReachedError(PeersError):
    """A peer gave no answer, also on a fresh connection."""


class PeerCallTimeoutError(PeersError):
    """A call into the peers' thread did not end within its limit."""
