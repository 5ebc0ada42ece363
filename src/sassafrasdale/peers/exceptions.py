"""Errors of the layer that speaks to other entries."""

from sassafrasdale.exceptions import SassafrasdaleError


class PeersError(SassafrasdaleError):
    """Base class of this layer's errors."""


class PeerNotReached(PeersError):
    """A peer gave no answer, also on a fresh connection."""


class PeerCallTimeout(PeersError):
    """A call into the peers' thread did not end within its limit."""
