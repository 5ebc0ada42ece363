"""Exceptions of the clients of the store, the configuration and the cloud API."""

from sassafrasdale.exceptions import SassafrasdaleError


class PlatformError(SassafrasdaleError):
    """Base class of the exceptions in this package."""


class StoreError(PlatformError):
    """A call to the store failed."""


class StoreNotReached(StoreError):
    """The call was never sent, so it had no effect."""


class StoreOverloaded(StoreError):
    """The store rate-limited the call, so it had no effect."""


class StoreAnswerLost(StoreError):
    """The call was sent without a response: it may have taken effect, or still may."""


class StoreRejected(StoreError):
    """The store rejected the call as invalid, so it had no effect."""


class StoredValueMalformed(StoreError):
    """A key's value has a format that this version of the package doesn't read."""


class StoreWatchDropped(StoreError):
    """The client cancelled a watch, to create it again."""


class StoreHistoryLost(StoreError):
    """The store has compacted the requested revisions."""


class LeaseNotFound(StoreRejected):
    """The lease has expired or was revoked; the call had no effect."""


class LeaseNotHeld(PlatformError):
    """The entry doesn't hold the lease, or may not send orders under it yet."""


class TextError(PlatformError):
    """An edit of the configuration failed."""


class TextOutcomeUnknown(TextError):
    """The response to an edit was lost, and its outcome could not be read back."""


class CloudError(PlatformError):
    """A call to the cloud API failed."""


class CloudNotReached(CloudError):
    """The cloud API gave no usable response."""


class StartRefused(CloudError):
    """The cloud has no instance of the requested class available."""
