"""A map that keeps the keys that were set most recently."""

from typing import Generic, TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class RecentMap(Generic[Key, Value]):
    """Values by key; beyond a number of keys, those set the longest ago are dropped.

    :param max_keys: most keys that are kept.
    """

    def __init__(self, max_keys: int) -> None:
        self._max_keys = max_keys
        # Most recently set last.
        self._values: dict[Key, Value] = {}

    def __len__(self) -> int:
        return len(self._values)

    def set(self, key: Key, value: Value) -> None:
        """Set a key's value."""
        self._values.pop(key, None)
        self._values[key] = value
        if len(self._values) > self._max_keys:
            del self._values[next(iter(self._values))]

    def get(self, key: Key) -> Value | None:
        """Return a key's value; None if it was not set lately."""
        return self._values.get(key)
