"""What a body may cost that comes in many parts.

The cost of a part is that of some kilobytes, however small it is.
"""

# Events of the codec after which other tasks run, some milliseconds of work. Reads
# don't wait as long as the peer sends faster than it is read.
EVENTS_PER_TURN = 32
# Parts of a body that may be tiny, and least average size of a part beyond these. An
# event of a stream has 15 bytes or more.
MAX_TINY_PARTS = 4096
MIN_PART_BYTES = 8


def are_tiny(parts: int, size: int) -> bool:
    """Return whether a body comes in parts that are tiny on average.

    :param size: size of all parts together, in bytes.
    """
    return (parts - MAX_TINY_PARTS) * MIN_PART_BYTES > size
